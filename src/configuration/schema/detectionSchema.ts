import { z } from "zod";
import type { DetectionSettings } from "../DetectionSettings.js";

const MAX_EJECT_THRESHOLD = 100;
const MAX_SLOW_FACTOR = 1_000;
const MAX_PROBATION_MS = 3_600_000;

/** Schema of a service's outlier detection settings. */
export const detectionSchema: z.ZodType<DetectionSettings> = z.strictObject({
    healthyErrorRate: z.number().positive().lt(1),
    failingErrorRate: z.number().positive().lt(1),
    ejectThreshold: z.number().positive().max(MAX_EJECT_THRESHOLD),
    slowFactor: z.number().gt(1).max(MAX_SLOW_FACTOR),
    probationMs: z.int().min(1).max(MAX_PROBATION_MS),
}).refine(settings => settings.healthyErrorRate < settings.failingErrorRate, {
    path: ["failingErrorRate"],
    message: "must be above healthyErrorRate",
});
