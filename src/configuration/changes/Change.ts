import type { ChangeOperation } from "./ChangeOperation.js";

/** A change of the configuration by an operator, applied atomically. */
export interface Change {
    /** Idempotency key chosen by the client; sending the change again with the same id returns its outcome. */
    readonly id: string;
    /** The operator's name. */
    readonly operator: string;
    /** The head version on which the operator based the change. */
    readonly baseVersion: number;
    readonly operations: readonly ChangeOperation[];
}
