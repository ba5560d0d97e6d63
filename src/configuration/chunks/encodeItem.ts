import { getTextHash } from "../../utils/index.js";
import type { EncodedItem } from "./EncodedItem.js";
import { getItemName } from "./getItemName.js";
import type { SectionItem } from "./SectionItem.js";

/**
 * Encodes an item as JSON and computes its hash.
 * @param item - The item.
 */
export function encodeItem(item: SectionItem): EncodedItem {
    const name = getItemName(item);
    return { item, name, hash: getTextHash(`${item.kind}/${name}`), text: JSON.stringify(item.value) };
}
