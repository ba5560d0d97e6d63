import { z } from "zod";
import type { Upstream } from "../Upstream.js";
import { addressSchema } from "./addressSchema.js";
import { nameSchema } from "./nameSchema.js";

const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;

/** Schema of an upstream. */
export const upstreamSchema: z.ZodType<Upstream> = z.strictObject({
    name: nameSchema,
    address: addressSchema,
    zone: nameSchema,
    slots: z.int().min(1).max(MAX_SLOTS),
    connections: z.int().min(1).max(MAX_CONNECTIONS),
    draining: z.boolean().optional(),
});
