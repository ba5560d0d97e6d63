import type { SectionItem } from "./SectionItem.js";

/** An item with its JSON text and the hash that assigns it to a chunk. */
export interface EncodedItem {
    readonly item: SectionItem;
    readonly name: string;
    readonly hash: number;
    readonly text: string;
}
