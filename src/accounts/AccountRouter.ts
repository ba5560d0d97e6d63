import { RouteKind } from "../configuration/index.js";
import { PeerUnavailableError } from "../errors/index.js";
import type { PeerForwarder } from "../forwarding/index.js";
import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import {
    closeBody,
    createNotRun,
    createUnknown,
    mergeOutcomes,
    OutcomeKind,
    RefusalReason,
    UnknownReason,
} from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import type { AccountRunner, CallerRequest } from "../requests/index.js";
import { runWithTimeout } from "../time/index.js";
import type { Clock } from "../time/index.js";
import { AttemptRace } from "../utils/index.js";
import type { AccountRouterOptions } from "./AccountRouterOptions.js";

const RETRY_AFTER_MS = 1000;
/** How long after the deadline an account host may still report an order's outcome, in milliseconds. */
const OUTCOME_GRACE_MS = 1000;

/** Runs a request on this entry host if it is an account host of the request's account, else forwards it to one. */
export class AccountRouter implements AccountRunner {
    readonly #clock: Clock;
    readonly #decisionLog: DecisionLog;
    readonly #local: AccountRunner;
    readonly #membership: Membership;
    readonly #forwarder: PeerForwarder;
    #isDraining = false;

    /** @param options - The router's dependencies. */
    constructor(options: AccountRouterOptions) {
        this.#clock = options.clock;
        this.#decisionLog = options.decisionLog;
        this.#local = options.local;
        this.#membership = options.membership;
        this.#forwarder = options.forwarder;
    }

    /** Forwards new requests to the account's other hosts from now on; runs them here if there are none. */
    drain(): void {
        this.#isDraining = true;
    }

    /**
     * Runs the request; never rejects.
     * @param request - The request.
     * @param signal - Aborted when the caller disconnects.
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
        return await this.#runOnFirstReachable(others, request, signal);
    }

    async #runOnFirstReachable(
        hosts: readonly Member[],
        request: CallerRequest,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const reachableFirst = this.#getReachableFirst(hosts);
        const outcome = request.route.kind === RouteKind.Order
            ? await this.#runOrder(reachableFirst, request, signal)
            : await this.#runLookup(reachableFirst, request, signal);
        return outcome ?? createUnreachable(request);
    }

    /** Runs an order on the first host that can be reached; returns undefined if there is none. */
    async #runOrder(
        hosts: readonly Member[],
        request: CallerRequest,
        signal: AbortSignal,
    ): Promise<Outcome | undefined> {
        const deadline = this.#clock.getTime() + request.timeoutMs;
        for (const host of hosts) {
            const timeoutMs = Math.max(0, deadline - this.#clock.getTime());
            try {
                return await this.#sendToHost(host, { ...request, timeoutMs }, timeoutMs + OUTCOME_GRACE_MS, signal);
            }
            catch (error) {
                if (!isNotSent(error)) {
                    const detail = "The connection to the account host was lost; ask for the order by its key.";
                    return createUnknown(UnknownReason.ConnectionLost, detail);
                }
            }
        }
        return undefined;
    }

    /** Runs a lookup on the hosts in turn, side by side once one has used half of the time left; the first answer is used. */
    async #runLookup(
        hosts: readonly Member[],
        request: CallerRequest,
        signal: AbortSignal,
    ): Promise<Outcome | undefined> {
        const deadline = this.#clock.getTime() + request.timeoutMs;
        const race = new AttemptRace<Outcome | undefined>(
            outcome => outcome?.kind === OutcomeKind.Done,
            mergeOutcomes,
            outcome => outcome !== undefined && closeBody(outcome),
        );
        void race.add(async ended => {
            for (const host of hosts) {
                const timeoutMs = Math.max(0, deadline - this.#clock.getTime());
                const isAnswered = this.#startLookup(host, { ...request, timeoutMs }, race, signal);
                const isEnded = await runWithTimeout(this.#clock, timeoutMs / 2, isAnswered, () => false);
                if (isEnded || ended.aborted || signal.aborted) {
                    break;
                }
            }
            return undefined;
        });
        return await race.wait();
    }

    /** Starts a lookup on one host; returns whether the host answers. */
    #startLookup(
        host: Member,
        request: CallerRequest,
        race: AttemptRace<Outcome | undefined>,
        signal: AbortSignal,
    ): Promise<boolean> {
        return new Promise(resolve => {
            void race.add(async superseded => {
                try {
                    const combined = AbortSignal.any([signal, superseded]);
                    const outcome = await this.#sendToHost(host, request, request.timeoutMs, combined);
                    resolve(true);
                    return outcome;
                }
                catch (error) {
                    resolve(false);
                    return isNotSent(error)
                        ? undefined
                        : createUnknown(
                            UnknownReason.ConnectionLost,
                            "The connections to the account hosts were lost.",
                        );
                }
            });
        });
    }

    /** Sends the request to one host; rejects if the host does not answer within a time. */
    async #sendToHost(host: Member, request: CallerRequest, limitMs: number, signal: AbortSignal): Promise<Outcome> {
        const controller = new AbortController();
        const timeout = new Promise<never>((_, reject) => {
            controller.signal.addEventListener("abort", () => {
                reject(new PeerUnavailableError(`${host.peerAddress} did not answer.`, false));
            });
        });
        const timer = this.#clock.schedule(limitMs, () => controller.abort());
        const combined = AbortSignal.any([signal, controller.signal]);
        try {
            const run = this.#forwarder.runAccount(host.peerAddress, request, combined);
            const outcome = await Promise.race([run, timeout]);
            this.#recordForwarded(host, request, outcome);
            return outcome;
        }
        finally {
            timer.cancel();
        }
    }

    /** Records the account host's refusal or unknown outcome on the host that received the caller's request. */
    #recordForwarded(host: Member, request: CallerRequest, outcome: Outcome): void {
        if (outcome.kind === OutcomeKind.Done) {
            return;
        }
        this.#decisionLog.record({
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

function isNotSent(error: unknown): boolean {
    return error instanceof PeerUnavailableError && error.isNotSent;
}

/** Answers "unknown" to an order with a key: an earlier request may have run, and only the key's holder can rule that out. */
function createUnreachable(request: CallerRequest): Outcome {
    const detail = "No account host of the client account can be reached.";
    return request.route.kind === RouteKind.Order && request.idempotencyKey !== undefined
        ? createUnknown(UnknownReason.HostGone, detail)
        : createNotRun(RefusalReason.HostUnreachable, detail, RETRY_AFTER_MS);
}
