import { UnexpectedVariantError } from "../../errors/index.js";
import { ItemKind } from "./ItemKind.js";
import type { SectionItem } from "./SectionItem.js";

/**
 * Gets the name of an item, which is unique among the items of its kind.
 * @param item - The item.
 */
export function getItemName(item: SectionItem): string {
    switch (item.kind) {
        case ItemKind.Account:
        case ItemKind.Route:
        case ItemKind.Service:
            return item.value.name;
        case ItemKind.Key:
            return item.value.id;
        case ItemKind.Upstream:
            return item.value.upstream.name;
        default:
            throw new UnexpectedVariantError(item);
    }
}
