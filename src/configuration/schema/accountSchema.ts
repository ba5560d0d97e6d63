import { z } from "zod";
import type { Account } from "../Account.js";
import { nameSchema } from "./nameSchema.js";

const MAX_RATE = 1_000_000;
const MAX_BURST = 1_000_000;

/** Schema of a client account. */
export const accountSchema: z.ZodType<Account> = z.strictObject({
    name: nameSchema,
    rate: z.number().positive().max(MAX_RATE),
    burst: z.int("must be a whole number").min(1).max(MAX_BURST),
});
