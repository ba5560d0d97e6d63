import type { PooledUpstream } from "./PooledUpstream.js";
import type { UpstreamStatus } from "./UpstreamStatus.js";

/**
 * Creates the status of an upstream that operators see.
 * @param pooled - The upstream.
 * @param service - Its service's name.
 */
export function createUpstreamStatus(pooled: PooledUpstream, service: string): UpstreamStatus {
    const { detector, statistics } = pooled;
    const upstream = pooled.getUpstream();
    return {
        upstream: upstream.name,
        service,
        zone: upstream.zone,
        state: pooled.getState(),
        reason: pooled.reason,
        since: pooled.getSince(),
        running: pooled.getRunning(),
        limit: pooled.getLimit(),
        slots: upstream.slots,
        errorEvidence: detector.getErrorEvidence(),
        latencyEvidence: detector.getLatencyEvidence(),
        threshold: detector.getThreshold(),
        medianMs: statistics.latencies.getQuantile(0.5),
        errorRate: statistics.getErrorRate(),
    };
}
