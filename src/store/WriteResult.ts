import type { StoreRecord } from "./StoreRecord.js";
import type { WriteResultKind } from "./WriteResultKind.js";

/** The result of a compare-and-swap. */
export type WriteResult =
    | { readonly kind: WriteResultKind.Written; readonly revision: number; }
    | { readonly kind: WriteResultKind.Conflict; readonly current: StoreRecord | undefined; };
