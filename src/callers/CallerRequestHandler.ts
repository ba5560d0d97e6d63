import { isKeyValid, RouteAccess, RouteKind } from "../configuration/index.js";
import type { Account, Route } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import { createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import type { CallerRequest } from "../requests/index.js";
import type { ActiveRequest } from "./ActiveRequest.js";
import type { CallerAnswer } from "./CallerAnswer.js";
import type { CallerRequestHandlerOptions } from "./CallerRequestHandlerOptions.js";
import type { Credentials } from "./Credentials.js";
import { getForwardedHeaders } from "./getForwardedHeaders.js";
import { getPath } from "./getPath.js";
import type { IncomingRequest } from "./IncomingRequest.js";
import { parseCredentials } from "./parseCredentials.js";
import { RefusalError } from "./RefusalError.js";

const NOT_CURRENT_RETRY_MS = 1000;
const STOPPING_RETRY_MS = 100;
/** Refusal reasons that apply to this host only, so that the caller may try another one. */
const HOST_SPECIFIC_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.HostNotCurrent,
    RefusalReason.HostStopping,
]);
const MAX_OTHER_URLS = 3;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,8}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** Validates callers' requests and runs those that pass the checks. */
export class CallerRequestHandler {
    readonly #options: CallerRequestHandlerOptions;
    #nextRequest = 1;
    #isStopping = false;

    /** @param options - The dependencies of the checks. */
    constructor(options: CallerRequestHandlerOptions) {
        this.#options = options;
    }

    /** Refuses all new requests; requests in progress continue. */
    stop(): void {
        this.#isStopping = true;
    }

    /**
     * Whether a request may run more than once, by its route; false if it has none yet, as a newer configuration may have one.
     * @param target - The request's path with query.
     */
    isIdempotent(target: string): boolean {
        const route = this.#options.getConfiguration().findRoute(getPath(target));
        return route !== undefined && route.kind !== RouteKind.Order;
    }

    /**
     * Checks and runs a request; never rejects.
     * @param incoming - The request as received from the caller.
     */
    async run(incoming: IncomingRequest): Promise<CallerAnswer> {
        const requestId = this.#createRequestId();
        try {
            const request = await this.#check(incoming, requestId);
            return await this.#runChecked(request, incoming.signal);
        }
        catch (error) {
            const outcome = this.#getRefusal(error, incoming, requestId);
            return { requestId, outcome, signal: incoming.signal, close: () => {} };
        }
    }

    /**
     * Gets the client account of a caller's key; throws a RefusalError if the key is not valid.
     * @param credentials - The caller's key.
     */
    getAccount(credentials: Credentials): Account {
        const configuration = this.#options.getConfiguration();
        const key = configuration.getKey(credentials.keyId);
        if (key?.withdrawn === true) {
            throw new RefusalError(RefusalReason.WithdrawnKey, "The key has been withdrawn.");
        }
        if (key === undefined || !isKeyValid(key, credentials.secret)) {
            throw new RefusalError(RefusalReason.UnknownKey, "The key is not known.");
        }
        const account = configuration.getAccount(key.account);
        if (account === undefined) {
            throw new RefusalError(RefusalReason.UnknownKey, "The key's client account does not exist.");
        }
        return account;
    }

    /** Checks that this host may serve requests; throws a RefusalError if not. */
    checkServing(): void {
        if (this.#isStopping) {
            throw new RefusalError(RefusalReason.HostStopping, "This entry host is stopping.", STOPPING_RETRY_MS);
        }
        if (!this.#options.membership.isCurrent()) {
            const detail = "This entry host can't confirm that its configuration is current.";
            throw new RefusalError(RefusalReason.HostNotCurrent, detail, NOT_CURRENT_RETRY_MS);
        }
    }

    async #check(incoming: IncomingRequest, requestId: string): Promise<CallerRequest> {
        this.checkServing();
        const credentials = parseCredentials(incoming.headers);
        const account = credentials === undefined ? undefined : this.getAccount(credentials);
        const route = this.#getRoute(incoming, account);
        const timeoutMs = this.#getTimeout(incoming, route) - incoming.waitedMs;
        const idempotencyKey = this.#getIdempotencyKey(incoming);
        this.#checkSecretIsAbsent(incoming.target, credentials);
        const body = await incoming.readBody(route.maxBodyBytes);
        if (body === undefined) {
            throw new RefusalError(RefusalReason.BodyTooLarge, `The body is longer than ${route.maxBodyBytes} bytes.`);
        }
        if (timeoutMs <= 0) {
            throw new RefusalError(RefusalReason.DeadlineExceeded, "The deadline passed before the request was sent.");
        }
        this.#checkSecretIsAbsent(body, credentials);
        this.#checkAgain(credentials);
        return {
            requestId,
            account,
            keyId: credentials?.keyId,
            route,
            method: incoming.method,
            path: incoming.target,
            headers: getForwardedHeaders(incoming.headers, credentials?.secret),
            body,
            idempotencyKey,
            timeoutMs,
        };
    }

    async #runChecked(request: CallerRequest, callerSignal: AbortSignal): Promise<CallerAnswer> {
        const controller = new AbortController();
        const cancel = (): void => controller.abort(callerSignal.reason);
        callerSignal.addEventListener("abort", cancel, { once: true });
        const active: ActiveRequest = { keyId: request.keyId, kind: request.route.kind, controller };
        this.#options.activeRequests.add(active);
        const close = (): void => {
            callerSignal.removeEventListener("abort", cancel);
            this.#options.activeRequests.remove(active);
        };
        const outcome = await this.#runOnAccountHost(request, controller.signal);
        this.#recordAnswer(request, outcome);
        return { requestId: request.requestId, outcome, signal: controller.signal, close };
    }

    async #runOnAccountHost(request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        try {
            return await this.#options.accountRunner.run(request, signal);
        }
        catch (error) {
            return createUnknown(UnknownReason.ConnectionLost, `The request failed: ${String(error)}.`);
        }
    }

    #checkAgain(credentials: Credentials | undefined): void {
        this.checkServing();
        if (credentials !== undefined) {
            this.getAccount(credentials);
        }
    }

    #getRoute(incoming: IncomingRequest, account: Account | undefined): Route {
        const path = getPath(incoming.target);
        const route = this.#options.getConfiguration().findRoute(path);
        if (route === undefined) {
            throw new RefusalError(RefusalReason.UnknownRoute, "There is no route for this path.");
        }
        if (!route.methods.includes(incoming.method)) {
            const detail = `The route ${route.name} takes ${route.methods.join(", ")}.`;
            throw new RefusalError(RefusalReason.MethodNotAllowed, detail);
        }
        this.#checkAccess(route, account);
        return route;
    }

    #checkAccess(route: Route, account: Account | undefined): void {
        if (route.access === RouteAccess.Open) {
            return;
        }
        if (account === undefined) {
            throw new RefusalError(RefusalReason.UnknownKey, "This route needs a key.");
        }
        if (route.accounts !== undefined && !route.accounts.includes(account.name)) {
            throw new RefusalError(RefusalReason.RouteNotAllowed, "The client account may not use this route.");
        }
    }

    #getTimeout(incoming: IncomingRequest, route: Route): number {
        const field = incoming.headers["x-timeout-ms"];
        if (field === undefined) {
            return route.deadlineMs;
        }
        if (typeof field !== "string" || !TIMEOUT_PATTERN.test(field)) {
            throw new RefusalError(RefusalReason.MalformedRequest, "X-Timeout-Ms is not a number of milliseconds.");
        }
        return Math.min(Number(field), route.deadlineMs);
    }

    #getIdempotencyKey(incoming: IncomingRequest): string | undefined {
        const field = incoming.headers["idempotency-key"];
        if (field !== undefined && (typeof field !== "string" || !IDEMPOTENCY_KEY_PATTERN.test(field))) {
            const detail = "Idempotency-Key is not one field of 1 to 255 visible characters.";
            throw new RefusalError(RefusalReason.MalformedRequest, detail);
        }
        return field;
    }

    #checkSecretIsAbsent(content: string | Buffer, credentials: Credentials | undefined): void {
        if (credentials !== undefined && content.includes(credentials.secret)) {
            const detail = "The key may stand in the Authorization field only.";
            throw new RefusalError(RefusalReason.MalformedRequest, detail);
        }
    }

    #getRefusal(error: unknown, incoming: IncomingRequest, requestId: string): Outcome {
        const refusal = error instanceof RefusalError
            ? error
            : new RefusalError(RefusalReason.MalformedRequest, "The request could not be read.");
        const reason = refusal.outcome.reason;
        const figures = { path: getPath(incoming.target), method: incoming.method };
        this.#options.decisions.record({ decision: Decision.Refused, reason, requestId, figures });
        const otherUrls = HOST_SPECIFIC_REASONS.has(reason) ? this.#getOtherUrls() : undefined;
        const details = { ...refusal.outcome, otherUrls };
        return hasIdempotencyKey(incoming) ? { ...details, kind: OutcomeKind.Unknown } : details;
    }

    #getOtherUrls(): readonly string[] {
        const { membership } = this.#options;
        const selfId = membership.getSelf().id;
        const others = membership.getView().members.filter(member => member.id !== selfId);
        const start = this.#nextRequest % Math.max(1, others.length);
        return [...others.slice(start), ...others.slice(0, start)].slice(0, MAX_OTHER_URLS)
            .map(member => `http://${member.callerAddress}`);
    }

    /** Records answers only: account hosts record refusals and unknown outcomes. */
    #recordAnswer(request: CallerRequest, outcome: Outcome): void {
        if (outcome.kind === OutcomeKind.Done) {
            this.#options.decisions.record({
                decision: Decision.Answered,
                reason: `status ${outcome.status}`,
                requestId: request.requestId,
                account: request.account?.name,
                service: request.route.service,
            });
        }
    }

    #createRequestId(): string {
        const self = this.#options.membership.getSelf();
        return `${self.id}-${self.incarnation}-${(this.#nextRequest++).toString(36)}`;
    }
}

/** A refused request has not run, but an earlier request with the same idempotency key may have, so its outcome is unknown. */
function hasIdempotencyKey(incoming: IncomingRequest): boolean {
    return incoming.headers["idempotency-key"] !== undefined;
}
