import { RouteKind } from "../configuration/index.js";
import { PeerUnavailableError } from "../errors/index.js";
import type { PeerForwarder } from "../forwarding/index.js";
import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import type { AccountRunner, CallerRequest } from "../requests/index.js";
import type { Clock } from "../time/index.js";
import type { AccountRouterOptions } from "./AccountRouterOptions.js";

const RETRY_AFTER_MS = 1000;
/** How long an order's account host may take beyond the deadline to tell the outcome, in milliseconds. */
const OUTCOME_GRACE_MS = 1000;

/** Runs a request on this entry host if it is an account host of the request's account, else forwards it to one. */
export class AccountRouter implements AccountRunner {
    readonly #clock: Clock;
    readonly #decisions: DecisionLog;
    readonly #local: AccountRunner;
    readonly #membership: Membership;
    readonly #forwarder: PeerForwarder;
    #isDraining = false;

    /** @param options - This host's own account host and the way to others. */
    constructor(options: AccountRouterOptions) {
        this.#clock = options.clock;
        this.#decisions = options.decisionLog;
        this.#local = options.local;
        this.#membership = options.membership;
        this.#forwarder = options.forwarder;
    }

    /** Forwards new requests to the other account hosts from now on, as far as there are any. */
    drain(): void {
        this.#isDraining = true;
    }

    /**
     * Runs the request; never rejects.
     * @param request - The request.
     * @param signal - Aborted when the caller has left.
     */
    async run(request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        if (request.account === undefined) {
            return await this.#local.run(request, signal);
        }
        const hosts = this.#membership.getAccountHosts(request.account.name);
        const selfId = this.#membership.getSelf().id;
        const others = hosts.filter(host => host.id !== selfId);
        const isAccountHost = others.length < hosts.length;
        if (isAccountHost && (!this.#isDraining || others.length === 0)) {
            return await this.#local.run(request, signal);
        }
        return await this.#runOnOneOf(others, request, signal);
    }

    async #runOnOneOf(hosts: readonly Member[], request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        const isIdempotent = request.route.kind !== RouteKind.Order;
        const deadline = this.#clock.getTime() + request.timeoutMs;
        let mayHaveRun = false;
        for (const host of this.#getReachableFirst(hosts)) {
            try {
                const timeoutMs = Math.max(0, deadline - this.#clock.getTime());
                const outcome = await this.#sendToHost(host, { ...request, timeoutMs }, signal);
                this.#recordForwarded(host, request, outcome);
                return outcome;
            }
            catch (error) {
                const isNotSent = error instanceof PeerUnavailableError && error.isNotSent;
                if (!isNotSent && !isIdempotent) {
                    const detail = "The connection to the account host was lost; ask for the order by its key.";
                    return createUnknown(UnknownReason.ConnectionLost, detail);
                }
                mayHaveRun ||= !isNotSent;
            }
        }
        return mayHaveRun
            ? createUnknown(UnknownReason.ConnectionLost, "The connections to the account hosts were lost.")
            : createUnreachable(request);
    }

    /** A silent account host costs a request that may be repeated half of its time, so that another can still serve it. */
    async #sendToHost(host: Member, request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        const limitMs = request.route.kind === RouteKind.Order
            ? request.timeoutMs + OUTCOME_GRACE_MS
            : request.timeoutMs / 2;
        const controller = new AbortController();
        const timeout = new Promise<never>((_, reject) => {
            controller.signal.addEventListener("abort", () => {
                reject(new PeerUnavailableError(`${host.peerAddress} did not answer.`, false));
            });
        });
        const timer = this.#clock.schedule(limitMs, () => controller.abort());
        const combined = AbortSignal.any([signal, controller.signal]);
        try {
            return await Promise.race([this.#forwarder.runAccount(host.peerAddress, request, combined), timeout]);
        }
        finally {
            timer.cancel();
        }
    }

    /** Records at the host that a caller has asked what the account host decided. */
    #recordForwarded(host: Member, request: CallerRequest, outcome: Outcome): void {
        if (outcome.kind === OutcomeKind.Done) {
            return;
        }
        this.#decisions.record({
            decision: outcome.kind === OutcomeKind.NotRun ? Decision.Refused : Decision.OutcomeUnknown,
            reason: outcome.reason,
            requestId: request.requestId,
            account: request.account?.name,
            service: request.route.service,
            member: host.id,
        });
    }

    #getReachableFirst(hosts: readonly Member[]): readonly Member[] {
        const reachable = hosts.filter(host => this.#membership.isReachable(host.id));
        const others = hosts.filter(host => !this.#membership.isReachable(host.id));
        return [...reachable, ...others];
    }
}

/** Only the host that holds a key may say that its order was not run, as an earlier request may have run. */
function createUnreachable(request: CallerRequest): Outcome {
    const detail = "No account host of the client account can be reached.";
    return request.route.kind === RouteKind.Order && request.idempotencyKey !== undefined
        ? createUnknown(UnknownReason.HostGone, detail)
        : createNotRun(RefusalReason.HostUnreachable, detail, RETRY_AFTER_MS);
}
