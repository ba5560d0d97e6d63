import type { ItemKind } from "./ItemKind.js";

/** An item as JSON with the hash that places it. */
export interface EncodedItem {
    readonly kind: ItemKind;
    readonly hash: number;
    readonly text: string;
}
