import type { ChunkContent } from "./ChunkContent.js";

/** A leaf of a section tree: one chunk with its decoded items. */
export interface SectionLeaf {
    readonly digest: string;
    /** The chunk's text; undefined if the store has the chunk already. */
    readonly text?: string;
    readonly content: ChunkContent;
}
