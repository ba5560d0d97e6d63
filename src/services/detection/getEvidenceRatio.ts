import type { PooledUpstream } from "../pools/PooledUpstream.js";

/**
 * Gets the evidence against an upstream relative to the ejection threshold; from 1 on it should be ejected.
 * @param upstream - The upstream.
 */
export function getEvidenceRatio(upstream: PooledUpstream): number {
    const { detector } = upstream;
    return Math.max(detector.getErrorEvidence(), detector.getLatencyEvidence()) / detector.getThreshold();
}
