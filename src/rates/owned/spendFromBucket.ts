import type { RateBasis } from "../RateBasis.js";
import type { TokenBucket } from "../TokenBucket.js";
import type { SpendTokenResult } from "./SpendTokenResult.js";

/**
 * Spends a token, or tells when there will be one.
 * @param bucket - The bucket.
 * @param time - The time in milliseconds.
 * @param maxWaitMs - How long the request may wait for its token, in milliseconds.
 * @param basis - How much of the account's rate the bucket stands for.
 */
export function spendFromBucket(
    bucket: TokenBucket,
    time: number,
    maxWaitMs: number,
    basis: RateBasis,
): SpendTokenResult {
    const waitMs = bucket.spendAhead(time, maxWaitMs);
    return waitMs === undefined
        ? { isSpent: false, waitMs: 0, retryAfterMs: Math.ceil(bucket.getWaitMs(time)), isQuarantined: false, basis }
        : { isSpent: true, waitMs, retryAfterMs: 0, isQuarantined: false, basis };
}
