import type { SectionItem } from "./SectionItem.js";

/** An item with the hash that places it and its JSON. */
export interface EncodedItem {
    readonly item: SectionItem;
    readonly name: string;
    readonly hash: number;
    readonly text: string;
}
