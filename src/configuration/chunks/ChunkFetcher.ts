import { ChunksMissingError } from "../../errors/index.js";
import { PeerMethod, type PeerTransport } from "../../peers/index.js";
import type { Store } from "../../store/index.js";
import type { ChunkCache } from "./ChunkCache.js";
import type { ChunkFetcherOptions } from "./ChunkFetcherOptions.js";
import { createChunkKey } from "./createChunkKey.js";
import { createDigest } from "./createDigest.js";

const MAX_PEERS = 3;
const PEER_TIMEOUT_MS = 500;
const DIGESTS_PER_CALL = 16;
const CONCURRENT_READS = 8;

/** Fetches missing chunks from peers first and then from the platform's store. */
export class ChunkFetcher {
    readonly #cache: ChunkCache;
    readonly #store: Store;
    readonly #transport: PeerTransport;
    readonly #findPeers: (version: number) => readonly string[];

    /** @param options - The dependencies. */
    constructor(options: ChunkFetcherOptions) {
        this.#cache = options.cache;
        this.#store = options.store;
        this.#transport = options.transport;
        this.#findPeers = options.findPeers;
    }

    /**
     * Fetches the missing chunks of a head into the cache; rejects with a ChunksMissingError if some can't be found.
     * @param version - The head version that refers to the chunks.
     * @param digests - The digests of the chunks.
     */
    async run(version: number, digests: ReadonlySet<string>): Promise<void> {
        if (this.#findMissing(digests).length === 0) {
            return;
        }
        for (const peer of this.#findPeers(version).slice(0, MAX_PEERS)) {
            await this.#readFromPeer(peer, digests);
        }
        await this.#readFromStore(digests);
        const missing = this.#findMissing(digests);
        if (missing.length > 0) {
            throw new ChunksMissingError(version, missing.length);
        }
    }

    #findMissing(digests: ReadonlySet<string>): string[] {
        return [...digests].filter(digest => !this.#cache.has(digest));
    }

    async #readFromPeer(peer: string, digests: ReadonlySet<string>): Promise<void> {
        for (let missing = this.#findMissing(digests); missing.length > 0;) {
            const requested = missing.slice(0, DIGESTS_PER_CALL);
            await this.#sendGet(peer, requested);
            const missingBefore = missing.length;
            missing = this.#findMissing(digests);
            if (missing.length === missingBefore) {
                return;
            }
        }
    }

    async #sendGet(peer: string, digests: readonly string[]): Promise<void> {
        try {
            const result = await this.#transport.send(peer, PeerMethod.GetChunks, { digests }, PEER_TIMEOUT_MS);
            this.#addExpected(result.texts, digests);
        }
        catch {
            // The caller tries another peer or the store next.
        }
    }

    #addExpected(texts: readonly string[], digests: readonly string[]): void {
        for (const text of texts) {
            if (digests.includes(createDigest(text))) {
                this.#cache.add(text);
            }
        }
    }

    async #readFromStore(digests: ReadonlySet<string>): Promise<void> {
        const remaining = this.#findMissing(digests);
        const readNext = async (): Promise<void> => {
            for (let digest = remaining.shift(); digest !== undefined; digest = remaining.shift()) {
                const record = await this.#store.get(createChunkKey(digest));
                this.#addExpected(record === undefined ? [] : [record.value], [digest]);
            }
        };
        await Promise.all(Array.from({ length: CONCURRENT_READS }, readNext));
    }
}
