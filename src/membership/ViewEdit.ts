import type { Member } from "../head/index.js";
import type { ViewEditKind } from "./ViewEditKind.js";

/** A requested change of the membership view; a leave removes only an entry of the same incarnation. */
export type ViewEdit =
    | { readonly kind: ViewEditKind.Join; readonly member: Member; }
    | { readonly kind: ViewEditKind.Leave; readonly member: Member; };
