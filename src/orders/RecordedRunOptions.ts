import type { Outcome } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";
import type { OrderCall } from "./OrderCall.js";
import type { OrderRecord } from "./OrderRecord.js";
import type { OrderRecords } from "./OrderRecords.js";
import type { OrderTask } from "./OrderTask.js";

/** The order, its record and the dependencies of its run. */
export interface RecordedRunOptions {
    readonly clock: Clock;
    readonly records: OrderRecords;
    readonly call: OrderCall;
    readonly task: OrderTask;
    /** Undefined for an order without a key. */
    readonly record: OrderRecord | undefined;
    /** Called with the run's promise, which may outlast the caller's request. */
    readonly onStarted: (run: Promise<Outcome>) => void;
    /** Called after the outcome was recorded. */
    readonly onSettled: (record: OrderRecord) => void;
}
