import type { Member } from "../head/index.js";
import type { ViewEditKind } from "./ViewEditKind.js";

/** A change that is wanted in the membership view; an entry is removed only while it has the same incarnation. */
export type ViewEdit =
    | { readonly kind: ViewEditKind.Join; readonly member: Member; }
    | { readonly kind: ViewEditKind.Leave; readonly member: Member; };
