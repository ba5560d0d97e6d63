import { isKeyValid, RouteAccess } from "../configuration/index.js";
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
import type { IncomingRequest } from "./IncomingRequest.js";
import { parseCredentials } from "./parseCredentials.js";
import { RefusalError } from "./RefusalError.js";

const NOT_CURRENT_RETRY_MS = 1000;
const STOPPING_RETRY_MS = 100;
/** Refusals that concern this host only. */
const HOST_SPECIFIC_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.HostNotCurrent,
    RefusalReason.HostStopping,
]);
const MAX_OTHER_URLS = 3;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,8}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** Checks callers' requests and runs those that pass. */
export class CallerRequestHandler {
    readonly #options: CallerRequestHandlerOptions;
    #nextRequest = 1;
    #isStopping = false;

    /** @param options - What the checks need. */
    constructor(options: CallerRequestHandlerOptions) {
        this.#options = options;
    }

    /** Refuses all requests from now on; those that run go on. */
    stop(): void {
        this.#isStopping = true;
    }

    /**
     * Checks and runs a request; never rejects.
     * @param call - The request as it came.
     */
    async run(call: IncomingRequest): Promise<CallerAnswer> {
        const requestId = this.#createRequestId();
        try {
            const request = await this.#check(call, requestId);
            return await this.#runChecked(request, call.signal);
        }
        catch (error) {
            const outcome = this.#getRefusal(error, call, requestId);
            return { requestId, outcome, signal: call.signal, close: () => {} };
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

    /** Checks that this host may serve; throws a RefusalError if not. */
    checkServing(): void {
        if (this.#isStopping) {
            throw new RefusalError(RefusalReason.HostStopping, "This entry host is stopping.", STOPPING_RETRY_MS);
        }
        if (!this.#options.membership.isCurrent()) {
            const detail = "This entry host can't confirm that its configuration is current.";
            throw new RefusalError(RefusalReason.HostNotCurrent, detail, NOT_CURRENT_RETRY_MS);
        }
    }

    async #check(call: IncomingRequest, requestId: string): Promise<CallerRequest> {
        this.checkServing();
        const credentials = parseCredentials(call.headers);
        const account = credentials === undefined ? undefined : this.getAccount(credentials);
        const route = this.#getRoute(call, account);
        const timeoutMs = this.#getTimeout(call, route);
        const idempotencyKey = this.#getIdempotencyKey(call);
        this.#checkSecretIsAbsent(call.target, credentials);
        const body = await call.readBody(route.maxBodyBytes);
        if (body === undefined) {
            throw new RefusalError(RefusalReason.BodyTooLarge, `The body is longer than ${route.maxBodyBytes} bytes.`);
        }
        this.#checkSecretIsAbsent(body, credentials);
        this.#checkStillServing(credentials);
        return {
            requestId,
            account,
            keyId: credentials?.keyId,
            route,
            method: call.method,
            path: call.target,
            headers: getForwardedHeaders(call.headers, credentials?.secret),
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
        const outcome = await this.#runAccount(request, controller.signal);
        this.#recordAnswer(request, outcome);
        return { requestId: request.requestId, outcome, signal: controller.signal, close };
    }

    async #runAccount(request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        try {
            return await this.#options.accountRunner.run(request, signal);
        }
        catch (error) {
            return createUnknown(UnknownReason.ConnectionLost, `The request failed: ${String(error)}.`);
        }
    }

    #checkStillServing(credentials: Credentials | undefined): void {
        this.checkServing();
        if (credentials !== undefined) {
            this.getAccount(credentials);
        }
    }

    #getRoute(call: IncomingRequest, account: Account | undefined): Route {
        const path = call.target.split("?", 1)[0]!;
        const route = this.#options.getConfiguration().findRoute(path);
        if (route === undefined) {
            throw new RefusalError(RefusalReason.UnknownRoute, "There is no route for this path.");
        }
        if (!route.methods.includes(call.method)) {
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

    #getTimeout(call: IncomingRequest, route: Route): number {
        const field = call.headers["x-timeout-ms"];
        if (field === undefined) {
            return route.deadlineMs;
        }
        if (typeof field !== "string" || !TIMEOUT_PATTERN.test(field)) {
            throw new RefusalError(RefusalReason.MalformedRequest, "X-Timeout-Ms is not a number of milliseconds.");
        }
        return Math.min(Number(field), route.deadlineMs);
    }

    #getIdempotencyKey(call: IncomingRequest): string | undefined {
        const field = call.headers["idempotency-key"];
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

    #getRefusal(error: unknown, call: IncomingRequest, requestId: string): Outcome {
        const refusal = error instanceof RefusalError
            ? error
            : new RefusalError(RefusalReason.MalformedRequest, "The request could not be read.");
        const reason = refusal.outcome.reason;
        const figures = { path: call.target.split("?", 1)[0]!, method: call.method };
        this.#options.decisions.record({ decision: Decision.Refused, reason, requestId, figures });
        const otherUrls = HOST_SPECIFIC_REASONS.has(reason) ? this.#getOtherUrls() : undefined;
        const details = { ...refusal.outcome, otherUrls };
        return hasIdempotencyKey(call) ? { ...details, kind: OutcomeKind.Unknown } : details;
    }

    #getOtherUrls(): readonly string[] {
        const { membership } = this.#options;
        const selfId = membership.getSelf().id;
        const others = membership.getView().members.filter(member => member.id !== selfId);
        const start = this.#nextRequest % Math.max(1, others.length);
        return [...others.slice(start), ...others.slice(0, start)].slice(0, MAX_OTHER_URLS)
            .map(member => `http://${member.callerAddress}`);
    }

    /** Account hosts record what they refuse and what stays unknown. */
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

/** What the checks refuse has not run, but of a request with a key they can't say whether an earlier one with it has. */
function hasIdempotencyKey(call: IncomingRequest): boolean {
    return call.headers["idempotency-key"] !== undefined;
}
