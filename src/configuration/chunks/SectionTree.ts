import { getTextHash } from "../../utils/index.js";
import type { Section } from "../Section.js";
import { createLeaves } from "./createLeaves.js";
import { decodeSection } from "./decodeSection.js";
import { encodeItem } from "./encodeItem.js";
import { getItemName } from "./getItemName.js";
import { ItemKind } from "./ItemKind.js";
import type { ItemValues } from "./ItemValues.js";
import type { SectionItem } from "./SectionItem.js";
import type { SectionLeaf } from "./SectionLeaf.js";

const HASH_BITS = 32;

/**
 * A section as an immutable binary tree over the hashes of its items' names. Its leaves are the chunks. Adding or removing
 * an item creates a new tree that shares all other leaves.
 */
export class SectionTree {
    readonly owners: readonly string[];
    readonly leaves: readonly SectionLeaf[];

    /**
     * @param owners - The section's owners.
     * @param leaves - The chunks ordered by prefix; together they cover all hashes.
     */
    constructor(owners: readonly string[], leaves: readonly SectionLeaf[]) {
        this.owners = owners;
        this.leaves = leaves;
    }

    /**
     * Finds an item.
     * @param kind - The item's kind.
     * @param name - The item's name.
     */
    find<K extends ItemKind>(kind: K, name: string): ItemValues[K] | undefined {
        const leaf = this.leaves[this.#findLeaf(kind, name)];
        const item = leaf === undefined ?
            undefined :
            getItems(leaf).find(entry => entry.kind === kind && getItemName(entry) === name);
        return item?.value as ItemValues[K] | undefined;
    }

    /** Gets all items of a kind. */
    getAll<K extends ItemKind>(kind: K): ItemValues[K][] {
        return this.leaves.flatMap(leaf => (leaf.content[kind] ?? []) as readonly ItemValues[K][]);
    }

    /**
     * Adds an item, or replaces the item of the same kind and name.
     * @param item - The item.
     */
    add(item: SectionItem): SectionTree {
        const name = getItemName(item);
        return this.#createNext(item.kind, name, items => [...items, item]);
    }

    /**
     * Removes an item if it exists.
     * @param kind - The item's kind.
     * @param name - The item's name.
     */
    remove(kind: ItemKind, name: string): SectionTree {
        return this.#createNext(kind, name, items => items);
    }

    /** Decodes the section from all chunks. */
    decode(): Section {
        return decodeSection(this.owners, this.leaves.map(leaf => leaf.content));
    }

    #createNext(kind: ItemKind, name: string, change: (items: SectionItem[]) => SectionItem[]): SectionTree {
        const index = this.#findLeaf(kind, name);
        const leaf = this.leaves[index]!;
        const others = getItems(leaf).filter(item => item.kind !== kind || getItemName(item) !== name);
        const leaves = createLeaves(leaf.content.prefix, change(others).map(encodeItem));
        return new SectionTree(this.owners, [
            ...this.leaves.slice(0, index),
            ...leaves,
            ...this.leaves.slice(index + 1),
        ]);
    }

    #findLeaf(kind: ItemKind, name: string): number {
        const bits = getTextHash(`${kind}/${name}`).toString(2).padStart(HASH_BITS, "0");
        return this.leaves.findIndex(leaf => bits.startsWith(leaf.content.prefix));
    }
}

function getItems({ content }: SectionLeaf): SectionItem[] {
    return Object.values(ItemKind).flatMap(kind =>
        (content[kind] ?? []).map(value => ({ kind, value }) as SectionItem)
    );
}
