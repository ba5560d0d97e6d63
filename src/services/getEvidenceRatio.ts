import type { PooledUpstream } from "./PooledUpstream.js";

/**
 * Gets how much of the evidence for an ejection there is against an upstream; from 1 on it is convicted.
 * @param upstream - The upstream.
 */
export function getEvidenceRatio(upstream: PooledUpstream): number {
    const { detector } = upstream;
    return Math.max(detector.getErrorEvidence(), detector.getLatencyEvidence()) / detector.getThreshold();
}
