import type { ChangeOperation } from "../../configuration/index.js";

/** A configuration change that a command sends. */
export interface CommandChange {
    readonly operations: readonly ChangeOperation[];
    /** The version that the operations were made from; the current one if undefined. */
    readonly knownVersion?: number;
    /** Fields that are printed with the result. */
    readonly details?: Readonly<Record<string, string>>;
}
