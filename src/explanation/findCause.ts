import { Decision } from "../logging/index.js";
import { RefusalReason } from "../outcomes/index.js";
import { RateBasis } from "../rates/index.js";
import type { Cause } from "./Cause.js";
import { CauseKind } from "./CauseKind.js";
import { findRestingUpstreams } from "./findRestingUpstreams.js";
import { isFinal } from "./isFinal.js";
import type { LoggedDecision } from "./LoggedDecision.js";

const MAX_EVIDENCE = 5;
const SERVED = /^status [234]/;
const FAILED = /^status 5/;
/** Reasons of the lines that tell that a service host which had the request could not be reached. */
const LOST_HOST = /^service-host-/;
const OWNER_SILENT = "rate-owner-silent";
const HOST_SILENT = "host-silent";

/**
 * Finds why a request ended as it did.
 * @param path - Its decisions, in causal order.
 * @param context - What the hosts came to believe, in the order of files and lines.
 * @param requestId - The request.
 */
export function findCause(
    path: readonly LoggedDecision[],
    context: readonly LoggedDecision[],
    requestId: string,
): Cause {
    const final = path.find(isFinal);
    if (path.length === 0) {
        return createCause(CauseKind.NotFound, `No log has a line on ${requestId}.`);
    }
    if (final === undefined) {
        const summary = "The host that took it in has left no answer in its log: it ended, or left the line out.";
        return createCause(CauseKind.HostEnded, summary, context.filter(isStartOrStop));
    }
    if (final.decision === Decision.Refused) {
        return findRefusal(final, path, context);
    }
    if (final.decision === Decision.OutcomeUnknown) {
        return findLoss(final, path, context);
    }
    return SERVED.test(final.reason)
        ? createCause(CauseKind.Served, `It was answered with ${final.reason}.`)
        : findUpstreamFailure(path, context) ??
            createCause(CauseKind.HostFailed, `${final.host} answered with ${final.reason} by itself.`);
}

function findRefusal(
    final: LoggedDecision,
    path: readonly LoggedDecision[],
    context: readonly LoggedDecision[],
): Cause {
    const detail = final.detail ?? final.reason;
    switch (final.reason) {
        case RefusalReason.RateExceeded:
            return findRateCause(final, context);
        case RefusalReason.Overloaded:
        case RefusalReason.NoUpstream:
        case RefusalReason.RetryBudgetSpent:
            return findShortage(path, context) ?? createCause(CauseKind.ServiceShort, detail);
        case RefusalReason.DeadlineExceeded:
            return findShortage(path, context) ?? createCause(CauseKind.CallerLeft, detail);
        case RefusalReason.RequestQuarantined:
            return createCause(CauseKind.Quarantined, detail, context.filter(isQuarantine));
        case RefusalReason.HostNotCurrent:
        case RefusalReason.HostStopping:
            return createCause(CauseKind.HostNotServing, detail, getBefore(final, context).filter(isStartOrStop));
        case RefusalReason.HostCutOff:
        case RefusalReason.HostUnreachable:
            return findLostHost(path, context) ?? createCause(CauseKind.ServiceHostLost, detail);
        default:
            return createCause(CauseKind.NotAllowed, detail);
    }
}

function findLoss(final: LoggedDecision, path: readonly LoggedDecision[], context: readonly LoggedDecision[]): Cause {
    const cause = findLostHost(path, context) ?? findUpstreamFailure(path, context) ?? findShortage(path, context);
    if (cause !== undefined) {
        return cause;
    }
    const detail = final.detail ?? final.reason;
    return final.reason === "deadline-exceeded"
        ? createCause(CauseKind.DeadlinePassed, detail)
        : createCause(CauseKind.HostFailed, detail);
}

function findRateCause(final: LoggedDecision, context: readonly LoggedDecision[]): Cause {
    const detail = final.detail ?? "The account is above its rate.";
    const silent = context.filter(item =>
        item.reason === HOST_SILENT || (item.reason === OWNER_SILENT && item.account === final.account)
    );
    const basis = final.figures?.["rateBasis"];
    if (basis === RateBasis.Partial) {
        const summary = `${final.host} had only a part of the rate, as not every owner of account ${final.account} ` +
            "could be asked.";
        return createCause(CauseKind.RateOwnerLost, summary, silent);
    }
    if (basis === RateBasis.NewOwner) {
        const summary = `The owner of account ${final.account} had taken over lately, so its burst was not full.`;
        return createCause(CauseKind.RateOwnerLost, summary, silent);
    }
    return createCause(CauseKind.RateExceeded, detail);
}

function findLostHost(path: readonly LoggedDecision[], context: readonly LoggedDecision[]): Cause | undefined {
    const lost = path.findLast(item => item.decision === Decision.DependencyChanged && LOST_HOST.test(item.reason));
    if (lost === undefined) {
        return undefined;
    }
    const summary = `The service host ${lost.member} had the request and could not be reached any more: ` +
        `${lost.figures?.["error"] ?? lost.reason}.`;
    const evidence = context.filter(item => item.host === lost.member && isStartOrStop(item));
    return createCause(CauseKind.ServiceHostLost, summary, evidence);
}

function findUpstreamFailure(path: readonly LoggedDecision[], context: readonly LoggedDecision[]): Cause | undefined {
    const sent = path.findLast(item => item.decision === Decision.Dispatched);
    if (sent === undefined || SERVED.test(sent.reason)) {
        return undefined;
    }
    const what = FAILED.test(sent.reason) ? `answered with ${sent.reason}` : `gave no answer (${sent.reason})`;
    const after = `after ${sent.figures?.["ms"] ?? "?"} ms`;
    const sends = path.filter(item => item.decision === Decision.Dispatched).length;
    const summary = `Upstream ${sent.upstream} of ${sent.service} ${what} ${after}, sent by ${sent.host}; ` +
        `it was ${sent.figures?.["state"] ?? "in an unknown state"}, and this was send ${sends}.`;
    const evidence = getBefore(sent, context).filter(item => item.upstream === sent.upstream);
    return createCause(CauseKind.UpstreamFailed, summary, evidence);
}

function findShortage(path: readonly LoggedDecision[], context: readonly LoggedDecision[]): Cause | undefined {
    const refusals = path.filter(item => item.decision === Decision.Refused && !isFinal(item));
    const last = refusals.at(-1);
    if (last === undefined) {
        return undefined;
    }
    const resting = refusals.flatMap(item => findRestingUpstreams(item, context));
    const hosts = [...new Set(refusals.map(item => `${item.host} (${item.reason})`))].join(", ");
    const summary = `${last.service} had no free slot in time at ${hosts}; ` +
        `${resting.length} of its upstreams were out of work there.`;
    return createCause(CauseKind.ServiceShort, summary, resting);
}

function getBefore(item: LoggedDecision, context: readonly LoggedDecision[]): readonly LoggedDecision[] {
    return context.filter(other => other.file === item.file && other.line < item.line);
}

function isStartOrStop({ decision }: LoggedDecision): boolean {
    return decision === Decision.Started || decision === Decision.Stopped || decision === Decision.Drained;
}

function isQuarantine({ decision }: LoggedDecision): boolean {
    return decision === Decision.Quarantined;
}

/** Keeps the lines that are nearest to the end of the logs. */
function createCause(kind: CauseKind, summary: string, evidence: readonly LoggedDecision[] = []): Cause {
    return { kind, summary, evidence: evidence.slice(-MAX_EVIDENCE) };
}
