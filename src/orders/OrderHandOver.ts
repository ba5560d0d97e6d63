import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import { getSuccessors } from "./getSuccessors.js";
import type { HandedOverOrder } from "./HandedOverOrder.js";
import type { HandOverOrdersParams } from "./HandOverOrdersParams.js";
import type { HeldIncarnations } from "./HeldIncarnations.js";
import type { OrderHolder } from "./OrderHolder.js";
import { OrderReceiver } from "./OrderReceiver.js";
import type { OrderRecord } from "./OrderRecord.js";
import type { OrderRecords } from "./OrderRecords.js";
import type { OrderRunnerOptions } from "./OrderRunnerOptions.js";

const SEND_TIMEOUT_MS = 1_000;
const MAX_ATTEMPTS = 3;
const MAX_PART_BYTES = 262_144;
const RECORD_BYTES = 300;

/** Hands order records over to a successor at a planned stop; the giver stops dispatching first. */
export class OrderHandOver {
    readonly #options: OrderRunnerOptions;
    readonly #records: OrderRecords;
    readonly #prefixes: HeldIncarnations;
    readonly #receivers = new Map<OrderRecord, Member>();
    readonly #updates = new Set<Promise<void>>();
    #sending: Promise<void> | undefined;
    #nextTransfer = 1;

    /**
     * @param options - Clock, membership, transport and handlers.
     * @param records - This host's records.
     * @param incarnations - The incarnations that this host holds.
     */
    constructor(options: OrderRunnerOptions, records: OrderRecords, incarnations: HeldIncarnations) {
        this.#options = options;
        this.#records = records;
        this.#prefixes = incarnations;
        const receiver = new OrderReceiver(options.clock, records, incarnations);
        options.handlers.add(PeerMethod.HandOverOrders, params => receiver.receive(params));
    }

    /** Waits while records are on their way, so that no order starts meanwhile. */
    async waitForTransfer(): Promise<void> {
        while (this.#sending !== undefined) {
            await this.#sending;
        }
    }

    /** Hands over the records of every incarnation that this host holds. */
    async drain(): Promise<void> {
        await this.waitForTransfer();
        this.#sending = this.#sendAll().finally(() => {
            this.#sending = undefined;
        });
        await this.#sending;
    }

    /**
     * Sends the outcome of an order that ran when it was handed over.
     * @param record - The order's record.
     */
    sendUpdate(record: OrderRecord): void {
        const update = this.#sendUpdate(record).finally(() => this.#updates.delete(update));
        this.#updates.add(update);
    }

    /** Waits until the outcomes that are due have been sent. */
    async waitForUpdates(): Promise<void> {
        await Promise.allSettled([...this.#updates]);
    }

    async #sendUpdate(record: OrderRecord): Promise<void> {
        await this.waitForTransfer();
        const receiver = this.#receivers.get(record);
        this.#receivers.delete(record);
        const part = { orders: [this.#encode(record)], isLast: false, isUpdate: true };
        for (let count = 0; receiver !== undefined && count < MAX_ATTEMPTS; count++) {
            if (await this.#sendPart(receiver, record.holder, "", part)) {
                return;
            }
        }
    }

    async #sendAll(): Promise<void> {
        for (const holder of this.#prefixes.getAll()) {
            await this.#sendToFirst(holder);
        }
    }

    async #sendToFirst(holder: OrderHolder): Promise<void> {
        const { membership, decisionLog } = this.#options;
        const records = this.#records.getAll().filter(record => isSameHolder(record.holder, holder));
        const candidates = getSuccessors(membership, holder).filter(member =>
            member.id !== membership.getSelf().id && membership.isReachable(member.id)
        );
        for (const successor of candidates) {
            if (await this.#send(successor, holder, records)) {
                const figures = { records: records.length };
                decisionLog.record({ decision: Decision.HandedOver, reason: "orders", member: successor.id, figures });
                return;
            }
        }
    }

    /** Returns false if the successor can't have taken over. */
    async #send(successor: Member, holder: OrderHolder, records: readonly OrderRecord[]): Promise<boolean> {
        const { id, incarnation } = this.#options.membership.getSelf();
        const transferId = `${id}/${incarnation}/${this.#nextTransfer++}`;
        const running = records.filter(record => record.getOutcome() === undefined);
        const parts = createParts(records.map(record => this.#encode(record)));
        for (const orders of parts.slice(0, -1)) {
            if (!await this.#sendPart(successor, holder, transferId, { orders, isLast: false, isUpdate: false })) {
                return false;
            }
        }
        await this.#sendLast(successor, holder, transferId, parts.at(-1) ?? []);
        this.#release(successor, holder, records, running);
        return true;
    }

    /** Sends the part after which the successor holds the orders; a lost answer leaves no way back. */
    async #sendLast(
        successor: Member,
        holder: OrderHolder,
        transferId: string,
        orders: readonly HandedOverOrder[],
    ): Promise<void> {
        for (let count = 0; count < MAX_ATTEMPTS; count++) {
            if (await this.#sendPart(successor, holder, transferId, { orders, isLast: true, isUpdate: false })) {
                return;
            }
        }
    }

    #release(
        successor: Member,
        holder: OrderHolder,
        records: readonly OrderRecord[],
        running: readonly OrderRecord[],
    ): void {
        this.#prefixes.remove(holder);
        for (const record of running) {
            this.#receivers.set(record, successor);
        }
        for (const record of records) {
            this.#records.remove(record);
        }
    }

    async #sendPart(
        successor: Member,
        holder: OrderHolder,
        transferId: string,
        part: Pick<HandOverOrdersParams, "orders" | "isLast" | "isUpdate">,
    ): Promise<boolean> {
        const { memberId, incarnation } = holder;
        const ageMs = this.#prefixes.getAge(holder) ?? 0;
        const params = { memberId, incarnation, transferId, ageMs, ...part };
        try {
            const { transport } = this.#options;
            const method = PeerMethod.HandOverOrders;
            return (await transport.send(successor.peerAddress, method, params, SEND_TIMEOUT_MS)).isAccepted;
        }
        catch {
            return false;
        }
    }

    #encode(record: OrderRecord): HandedOverOrder {
        const { account, key, fingerprint, holder, claimId } = record;
        const ageMs = this.#options.clock.getTime() - record.getTime();
        return { identity: { account, key, fingerprint, holder, claimId }, ageMs, outcome: record.getOutcome() };
    }
}

function isSameHolder(first: OrderHolder, second: OrderHolder): boolean {
    return first.memberId === second.memberId && first.incarnation === second.incarnation;
}

function createParts(orders: readonly HandedOverOrder[]): readonly (readonly HandedOverOrder[])[] {
    const parts: HandedOverOrder[][] = [[]];
    let bytes = 0;
    for (const order of orders) {
        const size = RECORD_BYTES + (order.outcome !== undefined && "body" in order.outcome
            ? order.outcome.body?.length ?? 0
            : 0);
        if (bytes + size > MAX_PART_BYTES) {
            parts.push([]);
            bytes = 0;
        }
        parts.at(-1)?.push(order);
        bytes += size;
    }
    return parts;
}
