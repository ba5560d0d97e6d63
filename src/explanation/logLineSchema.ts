import { z } from "zod";
import { Decision } from "../logging/index.js";

/** Schema of a host's log line that records a decision; the logger's own fields are ignored. */
export const logLineSchema = z.object({
    hostname: z.string().min(1),
    time: z.number(),
    decision: z.enum(Decision),
    reason: z.string(),
    requestId: z.string().optional(),
    account: z.string().optional(),
    service: z.string().optional(),
    upstream: z.string().optional(),
    member: z.string().optional(),
    version: z.number().optional(),
    detail: z.string().optional(),
    figures: z.record(z.string(), z.union([z.number(), z.string()])).optional(),
});
