import type { ChangeOperation } from "./ChangeOperation.js";

/** A change of the configuration by an operator; takes effect whole or not at all. */
export interface Change {
    /** Chosen by whoever makes the change; the same id again asks for the outcome. */
    readonly id: string;
    /** The operator's name. */
    readonly operator: string;
    /** The head version that the operator has seen. */
    readonly baseVersion: number;
    readonly operations: readonly ChangeOperation[];
}
