import type { PooledUpstream } from "../pools/PooledUpstream.js";

/**
 * Whether the evidence of slowness against an upstream outweighs that of failures.
 * @param upstream - The upstream.
 */
export function isLatencyOutlier({ detector }: PooledUpstream): boolean {
    return detector.getLatencyEvidence() > detector.getErrorEvidence();
}
