import type { z } from "zod";
import type { upstreamSettings } from "../standins/index.js";

/** Settings that all upstream stand-ins of a test fleet share. */
export type UpstreamDefaults = Omit<
    z.input<typeof upstreamSettings>,
    "name" | "port" | "slots" | "connections" | "seed"
>;
