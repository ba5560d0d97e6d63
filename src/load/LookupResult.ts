import type { EntryAddress } from "./EntryAddress.js";
import type { LookupResultKind } from "./LookupResultKind.js";
import type { Problem } from "./Problem.js";

/** What came of a lookup of addresses. */
export type LookupResult =
    | { readonly kind: LookupResultKind.Found; readonly addresses: readonly EntryAddress[]; }
    | { readonly kind: LookupResultKind.Refused; readonly problem: Problem; }
    | { readonly kind: LookupResultKind.NoAnswer; };
