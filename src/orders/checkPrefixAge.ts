import type { Outcome } from "../outcomes/index.js";
import { createNotRun, createUnknown, RefusalReason, UnknownReason } from "../outcomes/index.js";
import { ORDER_LIMITS } from "./ORDER_LIMITS.js";

/**
 * Checks whether a key without a record may start an order; returns the refusal.
 * @param ageMs - The time since the issue of the key's prefix, in milliseconds.
 */
export function checkPrefixAge(ageMs: number): Outcome | undefined {
    if (ageMs < 0) {
        return createNotRun(RefusalReason.MalformedRequest, "This key prefix has not been issued.");
    }
    if (ageMs > ORDER_LIMITS.notRunProofLifetimeMs) {
        return createUnknown(UnknownReason.KeyExpired, "The key prefix is too old to tell whether the order ran.");
    }
    if (ageMs > ORDER_LIMITS.prefixLifetimeMs) {
        const detail = "The key prefix is too old; ask for addresses again and use a new one.";
        return createNotRun(RefusalReason.IdempotencyKeyExpired, detail);
    }
    return undefined;
}
