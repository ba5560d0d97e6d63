import type { PooledUpstream } from "./PooledUpstream.js";

/**
 * Whether an upstream is convicted of slowness rather than of failures.
 * @param upstream - The upstream.
 */
export function isLatencyOutlier({ detector }: PooledUpstream): boolean {
    return detector.getLatencyEvidence() > detector.getErrorEvidence();
}
