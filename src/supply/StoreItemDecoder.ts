import type { StoreItem } from "./StoreItem.js";

/** Decodes the items of the platform's store. */
export interface StoreItemDecoder {
    /**
     * Decodes an item; never throws.
     * @param key - The item's key.
     * @param value - Its value.
     */
    decode(key: string, value: string): StoreItem;
}
