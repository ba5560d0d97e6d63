import { getTextHash } from "../utils/index.js";

const BUCKET_COUNT = 1_024;

/** An immutable hash map. An updated copy shares every bucket that holds none of the changed names. */
export class BucketMap<V> {
    readonly #buckets: readonly ReadonlyMap<string, V>[];

    /** @param buckets - The entries, grouped by the hash of their names; empty by default. */
    constructor(buckets: readonly ReadonlyMap<string, V>[] = Array.from({ length: BUCKET_COUNT }, () => new Map())) {
        this.#buckets = buckets;
    }

    /**
     * Gets the value of a name.
     * @param name - The name.
     */
    get(name: string): V | undefined {
        return this.#buckets[getTextHash(name) % BUCKET_COUNT]!.get(name);
    }

    /** Gets all values. */
    getValues(): V[] {
        return this.#buckets.flatMap(bucket => [...bucket.values()]);
    }

    /**
     * Creates an updated copy.
     * @param removed - Names to remove.
     * @param added - Entries to add after the removals; they replace entries of the same name.
     */
    createNext(removed: Iterable<string>, added: Iterable<readonly [string, V]>): BucketMap<V> {
        const buckets = [...this.#buckets];
        const copies = new Map<number, Map<string, V>>();
        const getCopy = (name: string): Map<string, V> => {
            const index = getTextHash(name) % BUCKET_COUNT;
            const copy = copies.get(index) ?? new Map(buckets[index]);
            copies.set(index, copy);
            buckets[index] = copy;
            return copy;
        };
        for (const name of removed) {
            getCopy(name).delete(name);
        }
        for (const [name, value] of added) {
            getCopy(name).set(name, value);
        }
        return new BucketMap(buckets);
    }
}
