import type { Outcome } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";
import type { OrderCall } from "./OrderCall.js";
import type { OrderRecord } from "./OrderRecord.js";
import type { OrderRecords } from "./OrderRecords.js";
import type { OrderTask } from "./OrderTask.js";

/** What a run of an order works with. */
export interface RecordedRunOptions {
    readonly clock: Clock;
    readonly records: OrderRecords;
    readonly call: OrderCall;
    readonly task: OrderTask;
    /** Undefined for an order without a key. */
    readonly record: OrderRecord | undefined;
    /** Receives the whole run, which may outlast its caller. */
    readonly onStarted: (run: Promise<Outcome>) => void;
    /** Runs after the order was settled. */
    readonly onSettled: (record: OrderRecord) => void;
}
