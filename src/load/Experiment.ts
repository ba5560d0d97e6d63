import type { z } from "zod";
import type { experimentSchema } from "./experimentSchema.js";

/** A checked experiment. */
export type Experiment = z.output<typeof experimentSchema>;
