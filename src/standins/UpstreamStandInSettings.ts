import type { z } from "zod";
import type { upstreamSettings } from "./upstreamSettings.js";

/** Settings of one upstream stand-in. */
export type UpstreamStandInSettings = z.output<typeof upstreamSettings>;
