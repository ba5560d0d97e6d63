import type { NotRunOutcome, Outcome } from "../outcomes/index.js";

/** The steps of an order that follow deduplication. */
export interface OrderTask {
    /** Checks rate and quarantine; returns the refusal, or undefined if the order may run. */
    admit(): Promise<NotRunOutcome | undefined>;
    /** Dispatches the admitted order; never rejects. */
    run(): Promise<Outcome>;
    /** Gives the admission back, as the order is not dispatched. */
    cancel(): void;
}
