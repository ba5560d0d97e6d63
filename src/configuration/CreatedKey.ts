import type { AccountKey } from "./AccountKey.js";

/** A new API key: the text that a caller sends and the record that is stored. */
export interface CreatedKey {
    /** "<id>.<secret>"; shown once and never stored. */
    readonly text: string;
    readonly record: AccountKey;
}
