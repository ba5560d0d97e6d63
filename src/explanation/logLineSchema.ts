import { z } from "zod";
import { Decision } from "../logging/index.js";

/** One line of a host's log that tells of a decision; fields of the logger itself are left out. */
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
