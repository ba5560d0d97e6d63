import type { ChunkContent } from "./ChunkContent.js";
import type { ChunkGetParams } from "./ChunkGetParams.js";
import type { ChunkGetResult } from "./ChunkGetResult.js";
import { createDigest } from "./createDigest.js";

const MAX_ANSWER_BYTES = 512 * 1024;

interface CachedChunk {
    readonly text: string;
    readonly content: ChunkContent;
}

/** The chunks on this entry host by digest. */
export class ChunkCache {
    readonly #chunks = new Map<string, CachedChunk>();

    /**
     * Adds a chunk and returns its digest. The digest is computed from the text, so the sender can't choose it.
     * @param text - The chunk's text.
     */
    add(text: string): string {
        const digest = createDigest(text);
        if (!this.#chunks.has(digest)) {
            this.#chunks.set(digest, { text, content: JSON.parse(text) as ChunkContent });
        }
        return digest;
    }

    /**
     * Whether a chunk is cached.
     * @param digest - The chunk's digest.
     */
    has(digest: string): boolean {
        return this.#chunks.has(digest);
    }

    /**
     * Gets the items of a chunk.
     * @param digest - The chunk's digest.
     */
    getContent(digest: string): ChunkContent | undefined {
        return this.#chunks.get(digest)?.content;
    }

    /**
     * Gets the texts of the chunks that a peer requests, up to the size limit of one answer.
     * @param params - The digests of the requested chunks.
     */
    getTexts(params: ChunkGetParams): ChunkGetResult {
        const texts: string[] = [];
        let size = 0;
        for (const digest of params.digests) {
            const text = this.#chunks.get(digest)?.text;
            size += text?.length ?? 0;
            if (size > MAX_ANSWER_BYTES) {
                break;
            }
            if (text !== undefined) {
                texts.push(text);
            }
        }
        return { texts };
    }

    /**
     * Removes all chunks except those in use.
     * @param kept - The sets of digests of the chunks to keep.
     */
    removeOthers(kept: readonly ReadonlySet<string>[]): void {
        for (const digest of this.#chunks.keys()) {
            if (!kept.some(digests => digests.has(digest))) {
                this.#chunks.delete(digest);
            }
        }
    }
}
