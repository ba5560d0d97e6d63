import type { NotRunOutcome, Outcome } from "../outcomes/index.js";

/** Admission and dispatch of an order, which follow its deduplication. */
export interface OrderTask {
    /** Admits the order; returns the refusal, or undefined if the order may run. */
    admit(): Promise<NotRunOutcome | undefined>;
    /** Dispatches the admitted order; never rejects. */
    run(): Promise<Outcome>;
    /** Returns the rate token of an admitted order that is not dispatched. */
    cancel(): void;
}
