import { FuchsiapathError, StoreUnavailableError } from "../../errors/index.js";
import { type Store, WriteResultKind } from "../../store/index.js";

const MAX_ATTEMPTS = 3;

/**
 * Writes an immutable record; does nothing if it exists already. After a lost answer the write is retried.
 * @param store - The platform's store.
 * @param key - The record's key, which contains a digest of the value.
 * @param value - The value.
 */
export async function writeImmutable(store: Store, key: string, value: string): Promise<void> {
    for (let attempt = 1;; attempt++) {
        try {
            const result = await store.compareAndSwap(key, value, 0);
            if (result.kind === WriteResultKind.Conflict && result.current?.value !== value) {
                throw new FuchsiapathError(`The record ${key} exists already with a different value.`);
            }
            return;
        }
        catch (error) {
            if (!(error instanceof StoreUnavailableError) || attempt === MAX_ATTEMPTS) {
                throw error;
            }
        }
    }
}
