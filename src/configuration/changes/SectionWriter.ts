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
     * @param loader - The loader to whose cache the new chunks are added.
     */
    constructor(store: Store, loader: ConfigurationLoader) {
        this.#store = store;
        this.#loader = loader;
    }

    /**
     * Writes the chunks that the head doesn't refer to yet and returns the references to all sections.
     * @param head - The current head.
     * @param trees - The new sections.
     * @param putSections - The sections that were replaced as a whole; they always count as changed.
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
            const current = head.sections[name];
            const leaves = tree.leaves.map(leaf => createUnretiredLeaf(leaf, retired));
            const chunks = leaves.map(leaf => leaf.digest);
            const isUnchanged = current !== undefined && !putSections.has(name) &&
                isDeepStrictEqual([current.owners, current.chunks], [tree.owners, chunks]);
            references[name] = isUnchanged ? current : { owners: tree.owners, version: head.version + 1, chunks };
            const currentDigests = new Set(current?.chunks);
            newLeaves.push(...leaves.filter(leaf => !currentDigests.has(leaf.digest)));
        }
        await this.#writeChunks(newLeaves);
        return references;
    }

    async #writeChunks(leaves: readonly SectionLeaf[]): Promise<void> {
        const remaining = [...leaves];
        const writeNext = async (): Promise<void> => {
            for (let leaf = remaining.shift(); leaf !== undefined; leaf = remaining.shift()) {
                await writeImmutable(this.#store, createChunkKey(leaf.digest), leaf.text!);
                this.#loader.addChunk(leaf.text!);
            }
        };
        await Promise.all(Array.from({ length: CONCURRENT_WRITES }, writeNext));
    }
}

/**
 * Creates a leaf whose digest is not among the retired ones, because a retired chunk may still be removed from the store.
 * A trailing space changes the digest but not the content.
 */
function createUnretiredLeaf(leaf: SectionLeaf, retired: ReadonlySet<string>): SectionLeaf {
    let { digest, text } = leaf;
    while (retired.has(digest)) {
        text = `${text} `;
        digest = createDigest(text);
    }
    return { ...leaf, digest, text };
}
