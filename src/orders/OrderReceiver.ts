import { createUnknown, UnknownReason } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";
import type { HandedOverOrder } from "./HandedOverOrder.js";
import type { HandOverOrdersParams } from "./HandOverOrdersParams.js";
import type { HandOverOrdersResult } from "./HandOverOrdersResult.js";
import type { HeldIncarnations } from "./HeldIncarnations.js";
import type { OrderRecord } from "./OrderRecord.js";
import type { OrderRecords } from "./OrderRecords.js";

const OUTCOME_WAIT_MS = 120_000;

interface Transfer {
    readonly transferId: string;
    readonly orders: HandedOverOrder[];
}

/** Takes over the order records of processes that stop. */
export class OrderReceiver {
    readonly #clock: Clock;
    readonly #records: OrderRecords;
    readonly #prefixes: HeldIncarnations;
    readonly #transfers = new Map<string, Transfer>();

    /**
     * @param clock - The source of time.
     * @param records - This host's records.
     * @param incarnations - The incarnations that this host holds.
     */
    constructor(clock: Clock, records: OrderRecords, incarnations: HeldIncarnations) {
        this.#clock = clock;
        this.#records = records;
        this.#prefixes = incarnations;
    }

    /**
     * Receives a part of a process's records.
     * @param params - The part.
     */
    receive(params: HandOverOrdersParams): HandOverOrdersResult {
        if (params.isUpdate) {
            params.orders.forEach(order => this.#recordUpdate(order));
        }
        else if (this.#prefixes.getAge(params) === undefined) {
            this.#addPart(params);
        }
        return { isAccepted: true };
    }

    #addPart(params: HandOverOrdersParams): void {
        const { transferId } = params;
        const holder = `${params.memberId}/${params.incarnation}`;
        const known = this.#transfers.get(holder);
        const transfer = known?.transferId === transferId ? known : { transferId, orders: [] };
        transfer.orders.push(...params.orders);
        this.#transfers.set(holder, transfer);
        if (params.isLast) {
            this.#transfers.delete(holder);
            this.#prefixes.add(params, params.ageMs);
            transfer.orders.forEach(order => this.#addOrder(order));
        }
    }

    #addOrder(order: HandedOverOrder): void {
        const record = this.#records.addWithAge(order.identity, order.ageMs);
        if (order.outcome !== undefined) {
            this.#records.recordOutcomeWithAge(record, order.outcome, order.ageMs);
            return;
        }
        this.#clock.schedule(OUTCOME_WAIT_MS, () => this.#recordGone(record));
    }

    #recordUpdate(order: HandedOverOrder): void {
        const record = this.#records.find(order.identity.account, order.identity.key);
        if (record !== undefined && record.getOutcome() === undefined && order.outcome !== undefined) {
            this.#records.recordOutcome(record, order.outcome);
        }
    }

    #recordGone(record: OrderRecord): void {
        if (record.getOutcome() === undefined) {
            const detail = "The entry host that ran this order stopped before it told the outcome.";
            this.#records.recordOutcome(record, createUnknown(UnknownReason.HostGone, detail));
        }
    }
}
