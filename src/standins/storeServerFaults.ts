import { z } from "zod";

/** Faults of the store stand-in that the control endpoint switches; what is left out stays as it was. */
export const storeServerFaults = z.strictObject({
    isAway: z.boolean(),
    isSilent: z.boolean(),
    losesWriteAnswers: z.boolean(),
    delayMs: z.number().min(0),
    readsPerSecond: z.number().positive().nullable(),
    writesPerSecond: z.number().positive().nullable(),
}).partial();
