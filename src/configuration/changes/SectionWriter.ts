import type { Head, SectionReference } from "../../head/index.js";
import type { Store } from "../../store/index.js";
import { type Chunk, createChunkKey, encodeSection } from "../chunks/index.js";
import type { ConfigurationLoader } from "../ConfigurationLoader.js";
import type { MergeResult } from "./MergeResult.js";
import { writeImmutable } from "./writeImmutable.js";

const CONCURRENT_WRITES = 4;

/** Writes the chunks of changed sections to the platform's store. */
export class SectionWriter {
    readonly #store: Store;
    readonly #loader: ConfigurationLoader;

    /**
     * @param store - The platform's store.
     * @param loader - Receives the new chunks.
     */
    constructor(store: Store, loader: ConfigurationLoader) {
        this.#store = store;
        this.#loader = loader;
    }

    /**
     * Writes the chunks that the head doesn't refer to yet and returns the references of all sections.
     * @param head - The head that stands.
     * @param merged - The sections as they shall be.
     */
    async write(head: Head, merged: MergeResult): Promise<Record<string, SectionReference>> {
        const references: Record<string, SectionReference> = {};
        const newChunks: Chunk[] = [];
        for (const [name, section] of Object.entries(merged.sections)) {
            const known = head.sections[name];
            if (known !== undefined && !merged.touchedSections.has(name)) {
                references[name] = known;
                continue;
            }
            const chunks = encodeSection(section);
            const knownDigests = new Set(known?.chunks);
            newChunks.push(...chunks.filter(chunk => !knownDigests.has(chunk.digest)));
            const digests = chunks.map(chunk => chunk.digest);
            references[name] = { owners: section.owners, version: head.version + 1, chunks: digests };
        }
        await this.#writeChunks(newChunks);
        return references;
    }

    async #writeChunks(chunks: readonly Chunk[]): Promise<void> {
        const remaining = [...chunks];
        const writeNext = async (): Promise<void> => {
            for (let chunk = remaining.shift(); chunk !== undefined; chunk = remaining.shift()) {
                await writeImmutable(this.#store, createChunkKey(chunk.digest), chunk.text);
                this.#loader.addChunk(chunk.text);
            }
        };
        await Promise.all(Array.from({ length: CONCURRENT_WRITES }, writeNext));
    }
}
