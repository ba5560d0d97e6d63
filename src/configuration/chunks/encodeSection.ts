import type { Section } from "../Section.js";
import type { Chunk } from "./Chunk.js";
import { createDigest } from "./createDigest.js";
import { createNameHash } from "./createNameHash.js";
import type { EncodedItem } from "./EncodedItem.js";
import { ItemKind } from "./ItemKind.js";

/** Half of the 64 KB that a chunk may have at most, so that a long last item still fits. */
const MAX_ITEMS_BYTES = 32 * 1024;
const HASH_BITS = 32;

/**
 * Encodes a section as chunks. Items are placed by a hash of their names in a binary tree whose leaves are the chunks;
 * a leaf is split when it grows too large, so that the change of an item changes one chunk.
 * @param section - The section.
 */
export function encodeSection(section: Section): Chunk[] {
    const items = encodeItems(section).sort((left, right) => left.hash - right.hash || compareText(left, right));
    const chunks: Chunk[] = [];
    addLeaves(items, 0, chunks);
    return chunks;
}

function encodeItems(section: Section): EncodedItem[] {
    const items: EncodedItem[] = [];
    const add = (kind: ItemKind, name: string, value: unknown): void => {
        items.push({ kind, hash: createNameHash(`${kind}/${name}`), text: JSON.stringify(value) });
    };
    section.accounts?.forEach(account => add(ItemKind.Account, account.name, account));
    section.keys?.forEach(key => add(ItemKind.Key, key.id, key));
    section.routes?.forEach(route => add(ItemKind.Route, route.name, route));
    for (const { upstreams, ...settings } of section.services ?? []) {
        add(ItemKind.Service, settings.name, settings);
        upstreams.forEach(upstream => add(ItemKind.Upstream, upstream.name, { service: settings.name, upstream }));
    }
    return items;
}

function compareText(left: EncodedItem, right: EncodedItem): number {
    return left.text < right.text ? -1 : 1;
}

function addLeaves(items: readonly EncodedItem[], depth: number, chunks: Chunk[]): void {
    if (items.length === 0) {
        return;
    }
    const size = items.reduce((sum, item) => sum + item.text.length + 1, 0);
    if (size <= MAX_ITEMS_BYTES || items.length === 1 || depth === HASH_BITS) {
        chunks.push(createChunk(items));
        return;
    }
    const bit = 1 << (HASH_BITS - 1 - depth);
    const boundary = items.findIndex(item => (item.hash & bit) !== 0);
    const middle = boundary === -1 ? items.length : boundary;
    addLeaves(items.slice(0, middle), depth + 1, chunks);
    addLeaves(items.slice(middle), depth + 1, chunks);
}

function createChunk(items: readonly EncodedItem[]): Chunk {
    const lists = Object.values(ItemKind).map(kind => {
        const texts = items.filter(item => item.kind === kind).map(item => item.text);
        return texts.length === 0 ? undefined : `"${kind}":[${texts.join(",")}]`;
    });
    const text = `{${lists.filter(list => list !== undefined).join(",")}}`;
    return { digest: createDigest(text), text };
}
