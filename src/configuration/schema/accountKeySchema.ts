import { z } from "zod";
import type { AccountKey } from "../AccountKey.js";
import { nameSchema } from "./nameSchema.js";

const MIN_SALT_LENGTH = 22;
const MAX_SALT_LENGTH = 86;
const HASH_LENGTH = 43;
const BASE64URL_PATTERN = /^[A-Za-z0-9_-]*$/;

const base64urlSchema = z.string().regex(BASE64URL_PATTERN, "must be base64url without padding");

/** Schema of a client account's key. */
export const accountKeySchema: z.ZodType<AccountKey> = z.strictObject({
    id: nameSchema,
    account: nameSchema,
    salt: base64urlSchema.min(MIN_SALT_LENGTH).max(MAX_SALT_LENGTH),
    hash: base64urlSchema.length(HASH_LENGTH),
    withdrawn: z.boolean().optional(),
});
