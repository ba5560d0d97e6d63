import type { PooledUpstream } from "./PooledUpstream.js";

/**
 * Whether an upstream takes connections and answers, be it with failures.
 * @param upstream - The upstream.
 */
export function isReachable({ isSilent, isConnectFailing }: PooledUpstream): boolean {
    return !isSilent && !isConnectFailing;
}
