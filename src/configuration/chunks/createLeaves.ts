import type { ChunkContent } from "./ChunkContent.js";
import { createDigest } from "./createDigest.js";
import type { EncodedItem } from "./EncodedItem.js";
import { ItemKind } from "./ItemKind.js";
import type { SectionLeaf } from "./SectionLeaf.js";

/** Half of the 64 KB limit of a chunk, which leaves room for a long last item. */
const MAX_ITEMS_BYTES = 32 * 1024;
const HASH_BITS = 32;

/**
 * Creates the chunks of the items whose hashes start with a prefix. A chunk above the size limit is split in two by the next
 * bit of the hash, so a change of an item changes only one chunk.
 * @param prefix - The common leading bits of all hashes.
 * @param items - The items.
 */
export function createLeaves(prefix: string, items: readonly EncodedItem[]): SectionLeaf[] {
    const size = items.reduce((sum, item) => sum + item.text.length + 1, 0);
    if (size <= MAX_ITEMS_BYTES || items.length <= 1 || prefix.length === HASH_BITS) {
        return [createLeaf(prefix, [...items].sort(compareItems))];
    }
    const bit = 1 << (HASH_BITS - 1 - prefix.length);
    return [
        ...createLeaves(`${prefix}0`, items.filter(item => (item.hash & bit) === 0)),
        ...createLeaves(`${prefix}1`, items.filter(item => (item.hash & bit) !== 0)),
    ];
}

function compareItems(left: EncodedItem, right: EncodedItem): number {
    return left.hash - right.hash || (left.name < right.name ? -1 : 1);
}

function createLeaf(prefix: string, items: readonly EncodedItem[]): SectionLeaf {
    const content: Record<string, unknown> = { prefix };
    const texts = [`"prefix":"${prefix}"`];
    for (const kind of Object.values(ItemKind)) {
        const itemsOfKind = items.filter(({ item }) => item.kind === kind);
        if (itemsOfKind.length > 0) {
            content[kind] = itemsOfKind.map(({ item }) => item.value);
            texts.push(`"${kind}":[${itemsOfKind.map(item => item.text).join(",")}]`);
        }
    }
    const text = `{${texts.join(",")}}`;
    return { digest: createDigest(text), text, content: content as unknown as ChunkContent };
}
