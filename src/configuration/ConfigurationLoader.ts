import type { Head, HeadInstaller } from "../head/index.js";
import { createEmptyHead, findChunkDigests } from "../head/index.js";
import { Decision, type DecisionLog } from "../logging/index.js";
import { type PeerHandlers, PeerMethod } from "../peers/index.js";
import { ChunkCache, type ChunkContent, ChunkFetcher, SectionTree } from "./chunks/index.js";
import type { Configuration } from "./Configuration.js";
import type { ConfigurationDocument } from "./ConfigurationDocument.js";
import { ConfigurationIndex } from "./ConfigurationIndex.js";
import type { ConfigurationListener } from "./ConfigurationListener.js";
import type { ConfigurationLoaderOptions } from "./ConfigurationLoaderOptions.js";
import { createSortedSection } from "./createSortedSection.js";
import { IndexedConfiguration } from "./IndexedConfiguration.js";

/** Loads and activates the configuration of newer heads; never returns to an older version. */
export class ConfigurationLoader implements HeadInstaller {
    readonly #cache = new ChunkCache();
    readonly #fetcher: ChunkFetcher;
    readonly #decisions: DecisionLog;
    readonly #listeners: ConfigurationListener[] = [];
    /** Heads whose chunks are being fetched or read and must not be removed from the cache. */
    readonly #pinnedHeads = new Set<Head>();
    #head: Head = createEmptyHead();
    #index = ConfigurationIndex.createEmpty();
    #configuration: Configuration = new IndexedConfiguration(0, this.#index);

    /** @param options - The loader's dependencies. */
    constructor(options: ConfigurationLoaderOptions) {
        const { store, transport, findPeers } = options;
        this.#fetcher = new ChunkFetcher({ cache: this.#cache, store, transport, findPeers });
        this.#decisions = options.decisions;
    }

    /**
     * Adds the handler that serves chunks to other entry hosts.
     * @param handlers - The handlers of this entry host.
     */
    addHandlers(handlers: PeerHandlers): void {
        handlers.add(PeerMethod.GetChunks, params => this.#cache.getTexts(params));
    }

    /**
     * Adds a listener that runs after each version is activated.
     * @param listener - Receives the new and the previous configuration.
     */
    addListener(listener: ConfigurationListener): void {
        this.#listeners.push(listener);
    }

    /** Gets the active configuration; its version is 0 before the first one. */
    getConfiguration(): Configuration {
        return this.#configuration;
    }

    /** Gets the head whose configuration is active. */
    getHead(): Head {
        return this.#head;
    }

    /** Gets the active document, with the items of each section sorted by name. */
    getDocument(): ConfigurationDocument {
        const trees = Object.entries(this.#createTrees(this.#head));
        const sections = trees.map(([name, tree]) => [name, createSortedSection(tree.decode())]);
        return { sections: Object.fromEntries(sections) };
    }

    /**
     * Fetches the missing chunks of a head and activates its configuration. Does nothing if this or a newer version is
     * active already. Rejects if a chunk can't be fetched.
     * @param head - The head to activate.
     */
    async apply(head: Head): Promise<void> {
        if (head.version <= this.#head.version) {
            return;
        }
        await this.#runPinned(head, () => {
            if (head.version > this.#head.version) {
                this.#applyHead(head);
            }
        });
    }

    /**
     * Reads the sections of any head without activating it.
     * @param head - The head.
     */
    async readSections(head: Head): Promise<Record<string, SectionTree>> {
        return await this.#runPinned(head, () => this.#createTrees(head));
    }

    /**
     * Adds a locally created chunk to the cache.
     * @param text - The chunk's text.
     */
    addChunk(text: string): void {
        this.#cache.add(text);
    }

    async #runPinned<T>(head: Head, read: () => T): Promise<T> {
        this.#pinnedHeads.add(head);
        try {
            await this.#fetcher.run(head.version, findChunkDigests(head.sections));
            return read();
        }
        finally {
            this.#pinnedHeads.delete(head);
        }
    }

    #applyHead(head: Head): void {
        const previous = this.#configuration;
        const before = findChunkDigests(this.#head.sections);
        const after = findChunkDigests(head.sections);
        this.#index = this.#index.createNext(this.#getContents(before, after), this.#getContents(after, before));
        this.#configuration = new IndexedConfiguration(head.version, this.#index);
        this.#cache.removeOthers([
            before,
            after,
            ...[...this.#pinnedHeads].map(pinned => findChunkDigests(pinned.sections)),
        ]);
        this.#head = head;
        this.#decisions.record({
            decision: Decision.ConfigurationApplied,
            reason: `follows version ${previous.version}`,
            version: head.version,
        });
        this.#listeners.forEach(listener => listener(this.#configuration, previous));
    }

    #getContents(digests: ReadonlySet<string>, excluded: ReadonlySet<string>): ChunkContent[] {
        return [...digests].filter(digest => !excluded.has(digest)).map(digest => this.#cache.getContent(digest)!);
    }

    #createTrees(head: Head): Record<string, SectionTree> {
        const trees = Object.entries(head.sections).map(([name, { owners, chunks }]) => {
            const leaves = chunks.map(digest => ({ digest, content: this.#cache.getContent(digest)! }));
            return [name, new SectionTree(owners, leaves)];
        });
        return Object.fromEntries(trees) as Record<string, SectionTree>;
    }
}
