import type { Section } from "../Section.js";
import { createLeaves } from "./createLeaves.js";
import { encodeItem } from "./encodeItem.js";
import { ItemKind } from "./ItemKind.js";
import type { SectionItem } from "./SectionItem.js";
import { SectionTree } from "./SectionTree.js";

/**
 * Creates the tree of chunks of a checked section.
 * @param section - The section.
 */
export function createSectionTree(section: Section): SectionTree {
    const items: SectionItem[] = [
        ...(section.accounts ?? []).map(value => ({ kind: ItemKind.Account, value } as const)),
        ...(section.keys ?? []).map(value => ({ kind: ItemKind.Key, value } as const)),
        ...(section.routes ?? []).map(value => ({ kind: ItemKind.Route, value } as const)),
    ];
    for (const { upstreams, ...value } of section.services ?? []) {
        items.push({ kind: ItemKind.Service, value });
        for (const upstream of upstreams) {
            items.push({ kind: ItemKind.Upstream, value: { service: value.name, upstream } });
        }
    }
    return new SectionTree(section.owners, createLeaves("", items.map(encodeItem)));
}
