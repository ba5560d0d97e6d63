import type { z } from "zod";
import type { scenarioSchema } from "./scenarioSchema.js";

/** A scenario: hosts to start with, and timed steps. */
export type Scenario = z.infer<typeof scenarioSchema>;
