import type { PooledUpstream } from "../pools/PooledUpstream.js";

/**
 * Whether an upstream accepts connections and answers, even if with failures.
 * @param upstream - The upstream.
 */
export function isReachable({ isSilent, isConnectFailing }: PooledUpstream): boolean {
    return !isSilent && !isConnectFailing;
}
