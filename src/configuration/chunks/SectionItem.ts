import type { ItemKind } from "./ItemKind.js";
import type { ItemValues } from "./ItemValues.js";

/** An item of a section with its kind. */
export type SectionItem = { [K in ItemKind]: { readonly kind: K; readonly value: ItemValues[K]; }; }[ItemKind];
