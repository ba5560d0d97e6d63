import type { Outcome } from "../../outcomes/index.js";
import { OutcomeKind } from "../../outcomes/index.js";
import type { UpstreamNoticeReport } from "../notices/UpstreamNoticeReport.js";
import type { HedgedResult } from "../queue/HedgedResult.js";
import type { ServiceAnswer } from "../ServiceAnswer.js";
import type { PartLoadReport } from "../sharing/PartLoadReport.js";

/** What an answer tells of the pool that gives it. */
interface PoolReport {
    readonly load: Omit<PartLoadReport, "part">;
    /** The time within which most answers of the request's route start, in milliseconds; undefined if unknown. */
    readonly usualMs: number | undefined;
    readonly otherLoads: readonly PartLoadReport[];
    readonly notices: readonly UpstreamNoticeReport[];
}

/**
 * Creates a service host's answer to one attempt.
 * @param outcome - The outcome.
 * @param result - The upstreams that were tried; undefined if the request was refused before.
 * @param report - What the answer tells of the pool.
 */
export function createServiceAnswer(
    outcome: Outcome,
    result: HedgedResult | undefined,
    { load: { freeSlots, queued, capacity }, usualMs, otherLoads, notices }: PoolReport,
): ServiceAnswer {
    // A request that was answered did not crash the upstream that lost it.
    const lostAttempts = outcome.kind === OutcomeKind.Done ? [] : result?.lostAttempts ?? [];
    const others = result?.others.map(other => other.getUpstream().name) ?? [];
    return {
        outcome,
        upstream: result?.pooled.getUpstream().name,
        ...(others.length === 0 ? {} : { otherUpstreams: others }),
        isCrashSuspected: lostAttempts.length > 0,
        ...(lostAttempts.length === 0 ? {} : { lostAttempts }),
        freeSlots,
        queued,
        ...(capacity === undefined ? {} : { capacity }),
        ...(usualMs === undefined ? {} : { usualMs: Math.round(usualMs) }),
        otherLoads,
        ...(notices.length === 0 ? {} : { notices }),
    };
}
