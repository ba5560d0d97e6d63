import { finished } from "node:stream";
import { getFingerprint } from "../accounts/index.js";
import type { DispatchCall } from "../accounts/index.js";
import { getPath, RefusalError } from "../callers/index.js";
import { RouteKind } from "../configuration/index.js";
import type { Account, Route, SuppliedConfiguration } from "../configuration/index.js";
import { TruncatedAnswerError } from "../errors/index.js";
import { Decision } from "../logging/index.js";
import {
    closeBody,
    createNotRun,
    createUnknown,
    OutcomeKind,
    RefusalReason,
    UnknownReason,
} from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import type { RateBasis } from "../rates/index.js";
import type { CallerRequest } from "../requests/index.js";
import { runWithTimeout } from "../time/index.js";
import type { AuthorizedRoute } from "./AuthorizedRoute.js";
import { checkRefusalProof } from "./checkRefusalProof.js";
import { findAuthorizedRoute } from "./findAuthorizedRoute.js";
import type { GatewayOptions } from "./GatewayOptions.js";
import type { GatewayRequest } from "./GatewayRequest.js";
import { HostEnd } from "./HostEnd.js";
import { RouteDurations } from "./RouteDurations.js";
import { selectService } from "./selectService.js";

/** Retry delay sent while this host has no current configuration, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Retry delay sent while this host is stopping, in milliseconds; another host can serve the retry. */
const STOPPING_RETRY_MS = 50;
/** Retry delay sent for a service without an upstream, in milliseconds. */
const NO_UPSTREAM_RETRY_MS = 1_000;
/** Time after the deadline for the service host's timeout response to arrive, in milliseconds. */
const DEADLINE_MARGIN_MS = 60;
/** Time before the caller's own timeout at which it is answered, so that the answer still reaches it, in milliseconds. */
const ANSWER_TRAVEL_MS = 40;

/** Share of a route's target latency that a request may wait for its account's next rate limit token. */
const MAX_TOKEN_WAIT_SHARE = 0.25;

/** Maximum configuration age for permanent refusals, in milliseconds: changes apply everywhere within two seconds. */
const MAX_REFUSAL_CONFIGURATION_AGE_MS = 1_500;
/** Permanent refusals, which callers do not retry. */
const PERMANENT_REASONS: ReadonlySet<RefusalReason> = new Set([RefusalReason.UnknownKey, RefusalReason.UnknownRoute]);

/** Logged as the age of a configuration that was never current, in milliseconds. */
const MAX_LOGGED_AGE_MS = 1e9;

/** The fields that are logged with a request's outcome. */
interface RequestContext {
    readonly requestId: string;
    /** Clock time in milliseconds. */
    readonly startTime: number;
    route?: string;
    account?: string | undefined;
    /** The part of the account's rate limit that refused the request. */
    rateBasis?: RateBasis | undefined;
    /** Whether it may have been sent to an upstream. */
    isDispatched?: boolean;
}

/** Authorizes and rate-limits callers' requests and dispatches them to service hosts. */
export class Gateway {
    readonly #options: GatewayOptions;
    #runningRequests = 0;
    readonly #durations = new RouteDurations();
    readonly #end: HostEnd;
    #stopTime: number | undefined;
    readonly #idleListeners: (() => void)[] = [];

    /** @param options - Dependencies of the gateway. */
    constructor(options: GatewayOptions) {
        this.#options = options;
        this.#end = new HostEnd(options.clock);
    }

    /** Refuses requests that are read from now on; those that were read before may still start, and those in progress continue. */
    stop(): void {
        this.#stopTime ??= this.#options.clock.getTime();
    }

    /**
     * Refuses requests that have not been sent and can't be expected to end in time.
     * @param endTime - When requests in progress are given up and answered, in milliseconds of the clock.
     */
    leave(endTime: number): void {
        this.#end.schedule(endTime);
    }

    /** Waits until no request is in progress. */
    async waitForIdle(): Promise<void> {
        if (this.#runningRequests > 0) {
            await new Promise<void>(resolve => this.#idleListeners.push(resolve));
        }
    }

    /**
     * Whether a request may run more than once, by its route; false if it has none yet, as a newer configuration may have one.
     * @param request - The request.
     */
    isIdempotent(request: GatewayRequest): boolean {
        const route = this.#options.getConfiguration()?.findRoute(getPath(request.target), request.host);
        return route !== undefined && route.kind !== RouteKind.Order;
    }

    /**
     * Runs a request to its final outcome; never rejects.
     * @param request - The request, without its body.
     * @param readBody - Reads the body, which is of use for `timeoutMs` milliseconds; undefined if it exceeds the limit.
     * @param signal - Aborted when the caller disconnects.
     * @param startTime - Clock time at which the request was read, in milliseconds.
     */
    async run(
        request: GatewayRequest,
        readBody: (maxBytes: number, timeoutMs: number) => Promise<Buffer | undefined>,
        signal: AbortSignal,
        startTime = this.#options.clock.getTime(),
    ): Promise<Outcome> {
        const context: RequestContext = { requestId: request.requestId, startTime };
        this.#runningRequests++;
        try {
            const run = this.#run(request, readBody, context, signal);
            const outcome = await this.#end.waitFor(run, () => createEndOutcome(context), closeBody);
            this.#record(context, outcome);
            return outcome;
        }
        catch (error) {
            const outcome = this.#createErrorOutcome(error);
            this.#record(context, outcome);
            return outcome;
        }
        finally {
            this.#recordEnd();
        }
    }

    async #run(
        request: GatewayRequest,
        readBody: (maxBytes: number, timeoutMs: number) => Promise<Buffer | undefined>,
        context: RequestContext,
        signal: AbortSignal,
    ): Promise<Outcome> {
        this.#checkIntake(context.startTime);
        const { route, account } = await this.#findAuthorizedRoute(request);
        context.route = route.name;
        context.account = account?.name;
        this.#checkEnd(route);
        const timeoutMs = Math.min(request.timeoutMs ?? route.deadlineMs, route.deadlineMs);
        const bodyMs = Math.max(0, context.startTime + timeoutMs - this.#options.clock.getTime());
        const body = await readBody(route.maxBodyBytes, bodyMs) ?? await this.#refuseBody(route);
        this.#checkEnd(route);
        const remainingMs = context.startTime + timeoutMs - this.#options.clock.getTime();
        if (remainingMs <= 0) {
            throw new RefusalError(RefusalReason.DeadlineExceeded, "The deadline passed before the request was sent.");
        }
        const callerRequest = createCallerRequest(request, route, account, body, remainingMs);
        const answerMs = Math.min(remainingMs + DEADLINE_MARGIN_MS, this.#getCallerRemaining(request, context));
        const answer = await this.#runUntilDeadline(callerRequest, Math.max(0, answerMs), context, signal);
        const outcome = route.kind === RouteKind.Order
            ? checkRefusalProof(answer, this.#options.notRunStatuses)
            : answer;
        this.#scheduleResponseTimeout(outcome, context.startTime + timeoutMs + DEADLINE_MARGIN_MS);
        this.#recordDuration(outcome, route, context.startTime);
        return outcome;
    }

    #checkIntake(readTime: number): void {
        if (this.#stopTime !== undefined && readTime >= this.#stopTime) {
            throw new RefusalError(RefusalReason.HostStopping, "This host is stopping.", STOPPING_RETRY_MS);
        }
    }

    /** A stopping host takes no request that it would have to abort. */
    #checkEnd(route: Route): void {
        const usualMs = this.#durations.findLongest(route.name) ?? route.targetMs ?? route.deadlineMs;
        if (!this.#end.hasTimeFor(usualMs)) {
            throw new RefusalError(
                RefusalReason.HostStopping,
                "This host is stopping before the request could end.",
                STOPPING_RETRY_MS,
            );
        }
    }

    #recordDuration(outcome: Outcome, route: Route, startTime: number): void {
        if (outcome.kind === OutcomeKind.Done) {
            finished(outcome.body, error => {
                if (!error) {
                    this.#durations.record(route.name, this.#options.clock.getTime() - startTime);
                }
            });
        }
    }

    #getConfiguration(): SuppliedConfiguration {
        const configuration = this.#options.getConfiguration();
        if (configuration === undefined) {
            const detail = "This host has no configuration yet.";
            throw new RefusalError(RefusalReason.HostNotCurrent, detail, NO_CONFIGURATION_RETRY_MS);
        }
        return configuration;
    }

    /** Finds the route and the account; refuses for good only after a check that no newer configuration allows it. */
    async #findAuthorizedRoute(request: GatewayRequest): Promise<AuthorizedRoute> {
        try {
            return findAuthorizedRoute(this.#getConfiguration(), request);
        }
        catch (error) {
            if (error instanceof RefusalError && PERMANENT_REASONS.has(error.outcome.reason)) {
                await this.#checkConfiguration();
                return findAuthorizedRoute(this.#getConfiguration(), request);
            }
            throw error;
        }
    }

    /** Refuses a body that is too long; it has been discarded, so a newer, higher limit helps only a retry. */
    async #refuseBody(route: Route): Promise<never> {
        const { version } = this.#getConfiguration();
        await this.#checkConfiguration();
        if (this.#getConfiguration().version !== version) {
            throw new RefusalError(RefusalReason.HostNotCurrent, "The configuration has changed.", 0);
        }
        throw new RefusalError(RefusalReason.BodyTooLarge, `The body is longer than ${route.maxBodyBytes} bytes.`);
    }

    async #checkConfiguration(): Promise<void> {
        if (!await this.#options.checkCopyAge(MAX_REFUSAL_CONFIGURATION_AGE_MS)) {
            const detail = "This host can't make sure that its configuration is current.";
            throw new RefusalError(RefusalReason.HostNotCurrent, detail, NO_CONFIGURATION_RETRY_MS);
        }
    }

    /** Gets the time in which an answer can still reach the caller before its timeout, in milliseconds. */
    #getCallerRemaining(request: GatewayRequest, { startTime }: RequestContext): number {
        return request.timeoutMs === undefined
            ? Number.POSITIVE_INFINITY
            : startTime + request.timeoutMs - ANSWER_TRAVEL_MS - this.#options.clock.getTime();
    }

    async #runUntilDeadline(
        request: CallerRequest,
        timeoutMs: number,
        context: RequestContext,
        callerSignal: AbortSignal,
    ): Promise<Outcome> {
        const timeout = new AbortController();
        const signal = AbortSignal.any([callerSignal, timeout.signal]);
        const run = this.#runWithAdmission(request, context, signal);
        return await runWithTimeout<Outcome>(this.#options.clock, timeoutMs, run, () => {
            timeout.abort(new Error("The deadline has passed."));
            return createUnknown(UnknownReason.DeadlineExceeded, "No answer came before the deadline.");
        });
    }

    /** Aborts a response that is incomplete at the deadline; a faulty upstream or host may send an endless one. */
    #scheduleResponseTimeout(outcome: Outcome, endTime: number): void {
        if (outcome.kind !== OutcomeKind.Done) {
            return;
        }
        const { clock } = this.#options;
        const timer = clock.schedule(Math.max(0, endTime - clock.getTime()), () => {
            outcome.body.destroy(new TruncatedAnswerError("The answer did not end before the deadline."));
        });
        finished(outcome.body, () => timer.cancel());
    }

    async #runWithAdmission(request: CallerRequest, context: RequestContext, signal: AbortSignal): Promise<Outcome> {
        const account = request.account?.name;
        const deadline = this.#options.clock.getTime() + request.timeoutMs;
        const fingerprint = getFingerprint(account, request);
        if (request.account !== undefined) {
            await this.#admit(request.account, request.route, fingerprint, context);
            this.#checkEnd(request.route);
        }
        const call = this.#createDispatchCall(request, account, deadline, fingerprint);
        context.isDispatched = true;
        return await this.#options.dispatcher.run(call, signal);
    }

    async #admit(account: Account, route: Route, fingerprint: string, context: RequestContext): Promise<void> {
        const { clock, limiter } = this.#options;
        const maxWaitMs = MAX_TOKEN_WAIT_SHARE * (route.targetMs ?? route.deadlineMs);
        const decision = await limiter.admit(account, { fingerprint, maxWaitMs });
        if (decision.isAdmitted) {
            if (decision.waitMs !== undefined && decision.waitMs > 0) {
                await clock.wait(decision.waitMs);
            }
            return;
        }
        if (decision.isQuarantined === true) {
            throw new RefusalError(RefusalReason.RequestQuarantined, "This request has crashed upstreams.");
        }
        context.rateBasis = decision.basis;
        const detail =
            `Account ${account.name} is above its rate of ${account.rate}/s with a burst of ${account.burst}.`;
        throw new RefusalError(RefusalReason.RateExceeded, detail, decision.retryAfterMs);
    }

    #createDispatchCall(
        request: CallerRequest,
        account: string | undefined,
        deadline: number,
        fingerprint: string,
    ): DispatchCall {
        const configuration = this.#getConfiguration();
        const name = selectService(request.route, this.#options.random);
        const service = configuration.getService(name);
        if (service === undefined || service.upstreams.length === 0) {
            throw new RefusalError(RefusalReason.NoUpstream, `${name} has no upstream.`, NO_UPSTREAM_RETRY_MS);
        }
        const isIdempotent = request.route.kind !== RouteKind.Order;
        return { request, account, service, isIdempotent, deadline, fingerprint };
    }

    #createErrorOutcome(error: unknown): Outcome {
        if (error instanceof RefusalError) {
            return error.outcome;
        }
        const detail = error instanceof Error ? error.message : String(error);
        return createUnknown(UnknownReason.ConnectionLost, `The request failed inside the host: ${detail}`);
    }

    #record(context: RequestContext, outcome: Outcome): void {
        const { clock, decisions, getConfiguration, getCopyAge } = this.#options;
        const base = {
            requestId: context.requestId,
            account: context.account,
            version: getConfiguration()?.version,
            figures: {
                ms: Math.round(clock.getTime() - context.startTime),
                route: context.route ?? "",
                ...(context.rateBasis === undefined ? {} : { rateBasis: context.rateBasis }),
            },
        };
        switch (outcome.kind) {
            case OutcomeKind.Done:
                decisions.record({ decision: Decision.Answered, reason: `status ${outcome.status}`, ...base });
                return;
            case OutcomeKind.NotRun:
                decisions.record({
                    decision: Decision.Refused,
                    reason: outcome.reason,
                    ...base,
                    figures: { ...base.figures, copyAgeMs: Math.round(Math.min(getCopyAge(), MAX_LOGGED_AGE_MS)) },
                    detail: outcome.detail,
                });
                return;
            case OutcomeKind.Unknown:
                decisions.record({
                    decision: Decision.OutcomeUnknown,
                    reason: outcome.reason,
                    ...base,
                    detail: outcome.detail,
                });
                return;
        }
    }

    #recordEnd(): void {
        this.#runningRequests--;
        if (this.#runningRequests === 0) {
            this.#idleListeners.splice(0).forEach(listener => listener());
        }
    }
}

function createEndOutcome({ isDispatched }: RequestContext): Outcome {
    return isDispatched === true
        ? createUnknown(UnknownReason.ConnectionLost, "The host stopped before the request ended.")
        : createNotRun(RefusalReason.HostStopping, "The host stopped before the request was sent.", STOPPING_RETRY_MS);
}

function createCallerRequest(
    request: GatewayRequest,
    route: Route,
    account: Account | undefined,
    body: Buffer,
    timeoutMs: number,
): CallerRequest {
    const { requestId, method, target, headers } = request;
    return {
        requestId,
        account,
        keyId: undefined,
        route,
        method,
        path: target,
        headers,
        body,
        idempotencyKey: undefined,
        timeoutMs,
    };
}
