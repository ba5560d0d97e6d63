import { z } from "zod";
import { nameSchema } from "./nameSchema.js";

const MAX_OWNERS = 100;
const itemsSchema = z.array(z.unknown()).optional();

/** Schema of a section's outer structure; its items are checked one by one. */
export const sectionFrameSchema = z.strictObject({
    owners: z.array(nameSchema).min(1).max(MAX_OWNERS)
        .refine(owners => new Set(owners).size === owners.length, "lists an operator twice"),
    accounts: itemsSchema,
    keys: itemsSchema,
    routes: itemsSchema,
    services: itemsSchema,
});
