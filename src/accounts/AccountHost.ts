import { RouteKind } from "../configuration/index.js";
import type { Service } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import { OrderRunner } from "../orders/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { EvenRateLimiter, RatePolicy, SharedRateLimiter } from "../rates/index.js";
import type { RateLimiter } from "../rates/index.js";
import type { AccountRunner, CallerRequest } from "../requests/index.js";
import type { AccountHostOptions } from "./AccountHostOptions.js";
import type { DispatchCall } from "./DispatchCall.js";
import { Dispatcher } from "./Dispatcher.js";
import { getFingerprint } from "./getFingerprint.js";
import { Quarantine } from "./Quarantine.js";
import { RequestAdmission } from "./RequestAdmission.js";

const RETRY_AFTER_MS = 1_000;
const CLEAN_UP_INTERVAL_MS = 30_000;

/** Runs callers' requests: applies rate limits and the quarantine, deduplicates orders, and dispatches with retries. */
export class AccountHost implements AccountRunner {
    readonly #options: AccountHostOptions;
    readonly #limiter: RateLimiter;
    readonly #quarantine: Quarantine;
    readonly #dispatcher: Dispatcher;
    readonly #orders: OrderRunner;
    /** The requests in progress. */
    readonly #running = new Set<Promise<Outcome>>();
    #controller: AbortController | undefined;

    /** @param options - The account host's dependencies. */
    constructor(options: AccountHostOptions) {
        this.#options = options;
        this.#limiter = createLimiter(options);
        this.#quarantine = new Quarantine(options);
        this.#dispatcher = new Dispatcher(options, this.#quarantine);
        this.#orders = new OrderRunner(options);
    }

    /** Starts the task that removes expired order records and key prefixes. */
    start(): void {
        this.#controller = new AbortController();
        void this.#runCleanUp(this.#controller.signal);
    }

    /** Hands rate shares and order records over to other hosts. Requests are still served; orders are forwarded to the successor. */
    async drain(): Promise<void> {
        const handOvers = [this.#orders.drain()];
        if (this.#limiter instanceof SharedRateLimiter) {
            handOvers.push(this.#limiter.drain());
        }
        await Promise.all(handOvers);
    }

    /** Waits until no request runs, including orders whose caller has disconnected. Call it once no new requests arrive. */
    async waitForIdle(): Promise<void> {
        while (this.#running.size > 0) {
            await Promise.allSettled([...this.#running]);
        }
        await this.#orders.waitForIdle();
    }

    /** Stops the clean-up task. */
    stop(): void {
        this.#controller?.abort();
        this.#controller = undefined;
    }

    /** Creates an idempotency key prefix that names this process, for the answer to an address lookup. */
    createKeyPrefix(): string {
        return this.#orders.createKeyPrefix();
    }

    /**
     * Finds the outcome of an order by its key; never rejects.
     * @param account - The account's name; undefined for a caller without an API key.
     * @param key - The order's key.
     */
    async findOutcome(account: string | undefined, key: string): Promise<Outcome> {
        return await this.#orders.findOutcome(account, key);
    }

    /**
     * Runs the request; never rejects.
     * @param request - The request.
     * @param signal - Aborted when the caller disconnects.
     */
    async run(request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        return await this.#recordRunning(this.#runSafely(request, signal));
    }

    async #runSafely(request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        try {
            const outcome = await this.#run(request, signal);
            this.#recordOutcome(request, outcome);
            return outcome;
        }
        catch (error) {
            return this.#getFailure(request, error);
        }
    }

    async #recordRunning(run: Promise<Outcome>): Promise<Outcome> {
        this.#running.add(run);
        try {
            return await run;
        }
        finally {
            this.#running.delete(run);
        }
    }

    async #run(request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        const account = request.account?.name;
        const isIdempotent = request.route.kind !== RouteKind.Order;
        const fingerprint = getFingerprint(account, request);
        const deadline = this.#options.clock.getTime() + request.timeoutMs;
        const admission = this.#createAdmission(request, fingerprint);
        const call = { request, account, isIdempotent, deadline, fingerprint };
        if (isIdempotent) {
            return await admission.admit() ?? await this.#runAdmitted(call, admission, signal);
        }
        const task = {
            admit: () => admission.admit(),
            run: () => this.#runAdmitted(call, admission, new AbortController().signal),
            cancel: () => admission.cancel(),
        };
        return await this.#orders.run(call, task, signal);
    }

    async #runAdmitted(
        call: Omit<DispatchCall, "service">,
        admission: RequestAdmission,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const service = this.#findService(call.request);
        if (service === undefined) {
            admission.cancel();
            return createNotRun(RefusalReason.NoUpstream, "This route's service has no upstreams.", RETRY_AFTER_MS);
        }
        const outcome = await this.#dispatcher.run({ ...call, service }, signal);
        if (outcome.kind === OutcomeKind.NotRun) {
            admission.cancel();
        }
        return outcome;
    }

    #createAdmission(request: CallerRequest, fingerprint: string): RequestAdmission {
        return new RequestAdmission({
            membership: this.#options.membership,
            limiter: this.#limiter,
            quarantine: this.#quarantine,
            account: request.account,
            fingerprint,
            isKeyWithdrawn: () => this.#isKeyWithdrawn(request),
        });
    }

    /** Checks the API key again, as the host that received the request may have an older configuration than this one. */
    #isKeyWithdrawn(request: CallerRequest): boolean {
        const { keyId } = request;
        return keyId !== undefined && this.#options.getConfiguration().getKey(keyId)?.withdrawn === true;
    }

    #findService(request: CallerRequest): Service | undefined {
        return this.#options.getConfiguration().getService(request.route.service);
    }

    #recordOutcome(request: CallerRequest, outcome: Outcome): void {
        const { requestId, account, route } = request;
        const base = { requestId, account: account?.name, service: route.service };
        switch (outcome.kind) {
            case OutcomeKind.Done:
                return;
            case OutcomeKind.NotRun:
                this.#options.decisionLog.record({ decision: Decision.Refused, reason: outcome.reason, ...base });
                return;
            case OutcomeKind.Unknown:
                this.#options.decisionLog.record({
                    decision: Decision.OutcomeUnknown,
                    reason: outcome.reason,
                    ...base,
                });
                return;
        }
    }

    #getFailure(request: CallerRequest, error: unknown): Outcome {
        const reason = error instanceof Error ? error.message : String(error);
        const { requestId } = request;
        this.#options.decisionLog.record({ decision: Decision.OutcomeUnknown, reason, requestId });
        return createUnknown(UnknownReason.ConnectionLost, "The request failed inside the entry host.");
    }

    async #runCleanUp(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.#orders.removeExpired();
            await this.#options.clock.wait(CLEAN_UP_INTERVAL_MS, signal).catch(() => undefined);
        }
    }
}

function createLimiter(options: AccountHostOptions): RateLimiter {
    const policy = options.ratePolicy ?? RatePolicy.Shared;
    switch (policy) {
        case RatePolicy.Shared:
            return new SharedRateLimiter(options);
        case RatePolicy.Baseline:
            return new EvenRateLimiter(options);
    }
}
