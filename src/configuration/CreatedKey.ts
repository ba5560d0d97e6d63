import type { AccountKey } from "./AccountKey.js";

/** A new key: what its caller sends, and the record that is kept. */
export interface CreatedKey {
    /** "<id>.<secret>"; shown once and kept nowhere. */
    readonly text: string;
    readonly record: AccountKey;
}
