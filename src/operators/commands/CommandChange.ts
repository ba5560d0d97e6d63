import type { ChangeOperation } from "../../configuration/index.js";

/** A change that a command sends. */
export interface CommandChange {
    readonly operations: readonly ChangeOperation[];
    /** The version that the operations were made from; the one in force if undefined. */
    readonly knownVersion?: number;
    /** What is shown with the answer. */
    readonly details?: Readonly<Record<string, string>>;
}
