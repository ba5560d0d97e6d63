import { z } from "zod";
import type { Service } from "../Service.js";
import { detectionSchema } from "./detectionSchema.js";
import { nameSchema } from "./nameSchema.js";
import { upstreamSchema } from "./upstreamSchema.js";

const MAX_UPSTREAMS = 10_000;
const MAX_QUEUE_PER_SLOT = 10_000;

/** Schema of a service with its upstreams. */
export const serviceSchema: z.ZodType<Service> = z.strictObject({
    name: nameSchema,
    upstreams: z.array(upstreamSchema).min(1).max(MAX_UPSTREAMS),
    floor: z.number().min(0).max(1),
    retryBudget: z.number().min(0).max(1),
    queuePerSlot: z.int().min(0).max(MAX_QUEUE_PER_SLOT),
    detection: detectionSchema,
});
