import { isDeepStrictEqual } from "node:util";
import type { Head, SectionReference } from "../../head/index.js";
import type { Store } from "../../store/index.js";
import { createChunkKey, createDigest, type SectionLeaf, type SectionTree } from "../chunks/index.js";
import type { ConfigurationLoader } from "../ConfigurationLoader.js";
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
     * @param trees - The sections as they shall be.
     * @param putSections - The sections that were put whole, which count as changed in any case.
     */
    async write(
        head: Head,
        trees: Readonly<Record<string, SectionTree>>,
        putSections: ReadonlySet<string>,
    ): Promise<Record<string, SectionReference>> {
        const references: Record<string, SectionReference> = {};
        const newLeaves: SectionLeaf[] = [];
        const retired = new Set(Object.keys(head.retiredChunks ?? {}));
        for (const [name, tree] of Object.entries(trees)) {
            const known = head.sections[name];
            const leaves = tree.leaves.map(leaf => createUnretired(leaf, retired));
            const chunks = leaves.map(leaf => leaf.digest);
            const isSame = known !== undefined && !putSections.has(name) &&
                isDeepStrictEqual([known.owners, known.chunks], [tree.owners, chunks]);
            references[name] = isSame ? known : { owners: tree.owners, version: head.version + 1, chunks };
            const knownDigests = new Set(known?.chunks);
            newLeaves.push(...leaves.filter(leaf => !knownDigests.has(leaf.digest)));
        }
        await this.#writeChunks(newLeaves);
        return references;
    }

    async #writeChunks(leaves: readonly SectionLeaf[]): Promise<void> {
        const remaining = [...leaves];
        const writeNext = async (): Promise<void> => {
            for (let chunk = remaining.shift(); chunk !== undefined; chunk = remaining.shift()) {
                await writeImmutable(this.#store, createChunkKey(chunk.digest), chunk.text!);
                this.#loader.addChunk(chunk.text!);
            }
        };
        await Promise.all(Array.from({ length: CONCURRENT_WRITES }, writeNext));
    }
}

/** A space at the end gives the same content another digest. */
function createUnretired(leaf: SectionLeaf, retired: ReadonlySet<string>): SectionLeaf {
    let { digest, text } = leaf;
    while (retired.has(digest)) {
        text = `${text} `;
        digest = createDigest(text);
    }
    return { ...leaf, digest, text };
}
