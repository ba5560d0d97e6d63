import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { Section } from "../Section.js";
import type { ChangeKind } from "./ChangeKind.js";

/** An operation of a change. It replaces a whole section as of the base version, or edits an item of the current version. */
export type ChangeOperation =
    | { readonly kind: ChangeKind.PutSection; readonly section: string; readonly content: Section; }
    | { readonly kind: ChangeKind.RemoveSection; readonly section: string; }
    | { readonly kind: ChangeKind.PutAccount; readonly section: string; readonly account: Account; }
    /** Removes the account's keys too. */
    | { readonly kind: ChangeKind.RemoveAccount; readonly account: string; }
    | { readonly kind: ChangeKind.PutKey; readonly section: string; readonly key: AccountKey; }
    | { readonly kind: ChangeKind.WithdrawKey; readonly keyId: string; }
    | { readonly kind: ChangeKind.DrainUpstream; readonly upstream: string; readonly draining: boolean; };
