import { PeerUnavailableError } from "../errors/index.js";
import type { Member } from "../head/index.js";
import { createUnknown, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { PeerMethod } from "../peers/index.js";
import { runWithTimeout } from "../time/index.js";
import { decodeStoredOutcome } from "./decodeStoredOutcome.js";
import type { FindOrderResult } from "./FindOrderResult.js";
import { getSuccessors } from "./getSuccessors.js";
import type { OrderCall } from "./OrderCall.js";
import type { OrderHolder } from "./OrderHolder.js";
import type { OrderRunnerOptions } from "./OrderRunnerOptions.js";

const FIND_TIMEOUT_MS = 500;

/** Finds the process that holds an order, and forwards orders and outcome queries to it. */
export class OrderLocator {
    readonly #options: OrderRunnerOptions;

    /** @param options - The locator's dependencies. */
    constructor(options: OrderRunnerOptions) {
        this.#options = options;
    }

    /**
     * Forwards an order to its holder; never rejects.
     * @param call - The order.
     * @param holder - The holder.
     * @param signal - Aborted when the caller disconnects.
     */
    async send(call: OrderCall, holder: OrderHolder, signal: AbortSignal): Promise<Outcome> {
        const { clock } = this.#options;
        const remainingMs = Math.max(0, call.deadline - clock.getTime());
        const unanswered = createUnknown(UnknownReason.DeadlineExceeded, "The order's host gave no answer in time.");
        return await runWithTimeout(clock, remainingMs, this.#sendToHolder(call, holder, signal), () => unanswered);
    }

    /**
     * Finds the outcome of an order at its holder; never rejects.
     * @param holder - The holder.
     * @param account - The account's name; undefined for a caller without an API key.
     * @param key - The order's key.
     */
    async findOutcome(holder: OrderHolder, account: string | undefined, key: string): Promise<Outcome> {
        const member = this.#findMember(holder);
        const candidates = member === undefined
            ? this.#getSuccessors(holder)
            : [member, ...this.#getSuccessors(holder)];
        for (const candidate of candidates) {
            const result = await this.#findAt(candidate, holder, account, key);
            if (result?.outcome !== undefined) {
                return decodeStoredOutcome(result.outcome);
            }
        }
        return createHostGone();
    }

    async #sendToHolder(call: OrderCall, holder: OrderHolder, signal: AbortSignal): Promise<Outcome> {
        const member = this.#findMember(holder);
        const outcome = member === undefined ? undefined : await this.#send(member, call, signal);
        if (outcome !== undefined) {
            return outcome;
        }
        const successor = await this.#findSuccessor(holder);
        const successorOutcome = successor === undefined ? undefined : await this.#send(successor, call, signal);
        return successorOutcome ?? createHostGone();
    }

    /** Returns undefined if the order certainly did not reach the member. */
    async #send(member: Member, call: OrderCall, signal: AbortSignal): Promise<Outcome | undefined> {
        const timeoutMs = Math.max(0, call.deadline - this.#options.clock.getTime());
        const request = { ...call.request, timeoutMs };
        try {
            return await this.#options.forwarder.runAccount(member.peerAddress, request, signal);
        }
        catch (error) {
            return error instanceof PeerUnavailableError && error.isNotSent
                ? undefined
                : createUnknown(UnknownReason.ConnectionLost, "The connection to the order's host was lost.");
        }
    }

    #findMember(holder: OrderHolder): Member | undefined {
        const { membership } = this.#options;
        return membership.getView().members.find(member =>
            member.id === holder.memberId && member.incarnation === holder.incarnation &&
            member.id !== membership.getSelf().id
        );
    }

    async #findSuccessor(holder: OrderHolder): Promise<Member | undefined> {
        const candidates = this.#getSuccessors(holder);
        const results = await Promise.all(candidates.map(candidate => this.#findAt(candidate, holder)));
        return candidates.find((_, index) => results[index]?.isHolder === true);
    }

    #getSuccessors(holder: OrderHolder): readonly Member[] {
        const self = this.#options.membership.getSelf();
        return getSuccessors(this.#options.membership, holder).filter(member => member.id !== self.id);
    }

    async #findAt(
        member: Member,
        holder: OrderHolder,
        account?: string,
        key?: string,
    ): Promise<FindOrderResult | undefined> {
        const { memberId, incarnation } = holder;
        const params = { memberId, incarnation, account, key };
        try {
            const { transport } = this.#options;
            return await transport.send(member.peerAddress, PeerMethod.FindOrder, params, FIND_TIMEOUT_MS);
        }
        catch {
            return undefined;
        }
    }
}

function createHostGone(): Outcome {
    return createUnknown(UnknownReason.HostGone, "The entry host that holds this order's record is gone.");
}
