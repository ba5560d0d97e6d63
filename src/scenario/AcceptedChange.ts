import type { ChangeOperation } from "../configuration/index.js";

/** A change of the configuration that was answered as accepted. */
export interface AcceptedChange {
    readonly version: number;
    /** When it was answered, in milliseconds. */
    readonly time: number;
    readonly operation: ChangeOperation;
}
