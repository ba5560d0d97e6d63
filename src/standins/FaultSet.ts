import type { z } from "zod";
import type { upstreamFaults } from "./upstreamFaults.js";

/** Faults of an upstream stand-in. */
export type FaultSet = z.output<typeof upstreamFaults>;
