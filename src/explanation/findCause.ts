import { Decision } from "../logging/index.js";
import { RefusalReason } from "../outcomes/index.js";
import { RateBasis } from "../rates/index.js";
import type { Cause } from "./Cause.js";
import { CauseKind } from "./CauseKind.js";
import { findLimitedUpstreams } from "./findLimitedUpstreams.js";
import { findUnhealthyUpstreams } from "./findUnhealthyUpstreams.js";
import { isFinal } from "./isFinal.js";
import type { LoggedDecision } from "./LoggedDecision.js";

const MAX_EVIDENCE = 5;
const SERVED_STATUS = /^status [234]/;
const SERVER_ERROR_STATUS = /^status 5/;
/** Matches the reasons of decisions that record that the service host with the request could not be reached. */
const SERVICE_HOST_FAILURE_REASON = /^service-host-/;
const RATE_OWNER_SILENT_REASON = "rate-owner-silent";
const HOST_SILENT_REASON = "host-silent";

/**
 * Finds why a request ended as it did.
 * @param path - The decisions on the request, in causal order.
 * @param context - Changes in the hosts' view of upstreams, other hosts and the store, in the order of files and lines.
 * @param requestId - The request's id.
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
        const summary = "The host that received it logged no answer: it terminated, or dropped the log line.";
        return createCause(CauseKind.HostTerminated, summary, context.filter(isStartOrStop));
    }
    if (final.decision === Decision.Refused) {
        return findRefusalCause(final, path, context);
    }
    if (final.decision === Decision.OutcomeUnknown) {
        return findUnknownOutcomeCause(final, path, context);
    }
    return SERVED_STATUS.test(final.reason)
        ? createCause(CauseKind.Served, `It was answered with ${final.reason}.`)
        : findUpstreamFailure(path, context) ??
            createCause(
                CauseKind.InternalError,
                `${final.host} answered with ${final.reason} without an upstream's answer.`,
            );
}

function findRefusalCause(
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
            return findCapacityShortage(path, context) ?? createCause(CauseKind.InsufficientCapacity, detail);
        case RefusalReason.DeadlineExceeded:
            return findCapacityShortage(path, context) ?? createCause(CauseKind.CallerDisconnected, detail);
        case RefusalReason.RequestQuarantined:
            return createCause(CauseKind.Quarantined, detail, context.filter(isQuarantine));
        case RefusalReason.HostNotCurrent:
        case RefusalReason.HostStopping:
        case RefusalReason.SenderStopping:
            return createCause(
                CauseKind.HostNotServing,
                detail,
                getEarlierDecisions(final, context).filter(isStartOrStop),
            );
        case RefusalReason.HostCutOff:
        case RefusalReason.HostUnreachable:
            return findServiceHostFailure(path, context) ?? createCause(CauseKind.ServiceHostLost, detail);
        default:
            return createCause(CauseKind.RequestRejected, detail);
    }
}

function findUnknownOutcomeCause(
    final: LoggedDecision,
    path: readonly LoggedDecision[],
    context: readonly LoggedDecision[],
): Cause {
    const cause = findServiceHostFailure(path, context) ?? findUpstreamFailure(path, context) ??
        findCapacityShortage(path, context);
    if (cause !== undefined) {
        return cause;
    }
    const detail = final.detail ?? final.reason;
    return final.reason === "deadline-exceeded"
        ? createCause(CauseKind.DeadlineExceeded, detail)
        : createCause(CauseKind.InternalError, detail);
}

function findRateCause(final: LoggedDecision, context: readonly LoggedDecision[]): Cause {
    const detail = final.detail ?? "The account is above its rate.";
    const unreachable = context.filter(item =>
        item.reason === HOST_SILENT_REASON ||
        (item.reason === RATE_OWNER_SILENT_REASON && item.account === final.account)
    );
    const basis = final.figures?.["rateBasis"];
    if (basis === RateBasis.Partial) {
        const summary = `${final.host} had only a part of the rate, as not every owner of account ${final.account} ` +
            "could be asked.";
        return createCause(CauseKind.RateOwnerUnavailable, summary, unreachable);
    }
    if (basis === RateBasis.NewOwner) {
        const summary = `The owner of account ${final.account} had changed recently, so its burst was not yet full.`;
        return createCause(CauseKind.RateOwnerUnavailable, summary, unreachable);
    }
    return createCause(CauseKind.RateExceeded, detail);
}

function findServiceHostFailure(
    path: readonly LoggedDecision[],
    context: readonly LoggedDecision[],
): Cause | undefined {
    const failure = path.findLast(item =>
        item.decision === Decision.DependencyChanged && SERVICE_HOST_FAILURE_REASON.test(item.reason)
    );
    if (failure === undefined) {
        return undefined;
    }
    const summary = `The service host ${failure.member} had the request and could not be reached any more: ` +
        `${failure.figures?.["error"] ?? failure.reason}.`;
    const evidence = context.filter(item => item.host === failure.member && isStartOrStop(item));
    return createCause(CauseKind.ServiceHostLost, summary, evidence);
}

function findUpstreamFailure(path: readonly LoggedDecision[], context: readonly LoggedDecision[]): Cause | undefined {
    const dispatch = path.findLast(item => item.decision === Decision.Dispatched);
    if (dispatch === undefined || SERVED_STATUS.test(dispatch.reason)) {
        return undefined;
    }
    const outcome = SERVER_ERROR_STATUS.test(dispatch.reason)
        ? `answered with ${dispatch.reason}`
        : `gave no answer (${dispatch.reason})`;
    const duration = `after ${dispatch.figures?.["ms"] ?? "?"} ms`;
    const dispatchCount = path.filter(item => item.decision === Decision.Dispatched).length;
    const summary =
        `Upstream ${dispatch.upstream} of ${dispatch.service} ${outcome} ${duration}, sent by ${dispatch.host}; ` +
        `it was ${dispatch.figures?.["state"] ?? "in an unknown state"}, and this was send ${dispatchCount}.`;
    const evidence = getEarlierDecisions(dispatch, context).filter(item => item.upstream === dispatch.upstream);
    return createCause(CauseKind.UpstreamFailed, summary, evidence);
}

function findCapacityShortage(path: readonly LoggedDecision[], context: readonly LoggedDecision[]): Cause | undefined {
    const refusals = path.filter(item => item.decision === Decision.Refused && !isFinal(item));
    const last = refusals.at(-1);
    if (last === undefined) {
        return undefined;
    }
    const unhealthy = refusals.flatMap(item => findUnhealthyUpstreams(item, context));
    const limited = refusals.flatMap(item => findLimitedUpstreams(item, context));
    const hosts = [...new Set(refusals.map(item => `${item.host} (${item.reason})`))].join(", ");
    const summary = `${last.service} had no free slot in time at ${hosts}; ` +
        `${unhealthy.length} of its upstreams were ejected or unhealthy there` +
        (limited.length === 0 ? "." : `, ${limited.length} had named a limit of their request rate.`);
    return createCause(CauseKind.InsufficientCapacity, summary, [...unhealthy, ...limited]);
}

function getEarlierDecisions(item: LoggedDecision, context: readonly LoggedDecision[]): readonly LoggedDecision[] {
    return context.filter(other => other.file === item.file && other.line < item.line);
}

function isStartOrStop({ decision }: LoggedDecision): boolean {
    return decision === Decision.Started || decision === Decision.Stopped || decision === Decision.Drained;
}

function isQuarantine({ decision }: LoggedDecision): boolean {
    return decision === Decision.Quarantined;
}

/** Keeps only the last lines of the evidence. */
function createCause(kind: CauseKind, summary: string, evidence: readonly LoggedDecision[] = []): Cause {
    return { kind, summary, evidence: evidence.slice(-MAX_EVIDENCE) };
}
