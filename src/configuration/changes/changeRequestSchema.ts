import { z } from "zod";
import { accountKeySchema, accountSchema, nameSchema } from "../schema/index.js";
import type { Section } from "../Section.js";
import type { Change } from "./Change.js";
import { ChangeKind } from "./ChangeKind.js";

const MAX_OPERATIONS = 1_000;

/** Accepts any object; the content is checked together with the whole document. */
const sectionContentSchema = z.custom<Section>(
    value => typeof value === "object" && value !== null && !Array.isArray(value),
    "must be a section",
);

const operationSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal(ChangeKind.PutSection),
        section: nameSchema,
        content: sectionContentSchema,
    }),
    z.strictObject({ kind: z.literal(ChangeKind.RemoveSection), section: nameSchema }),
    z.strictObject({ kind: z.literal(ChangeKind.PutAccount), section: nameSchema, account: accountSchema }),
    z.strictObject({ kind: z.literal(ChangeKind.RemoveAccount), account: nameSchema }),
    z.strictObject({ kind: z.literal(ChangeKind.PutKey), section: nameSchema, key: accountKeySchema }),
    z.strictObject({ kind: z.literal(ChangeKind.WithdrawKey), keyId: nameSchema }),
    z.strictObject({ kind: z.literal(ChangeKind.DrainUpstream), upstream: nameSchema, draining: z.boolean() }),
]);

/** A change as sent by an operator; the operator's name comes from the access token. */
export const changeRequestSchema: z.ZodType<Omit<Change, "operator">> = z.strictObject({
    id: nameSchema,
    baseVersion: z.int().min(0),
    operations: z.array(operationSchema).min(1).max(MAX_OPERATIONS),
});
