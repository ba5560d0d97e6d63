import type { ChunkContent } from "./ChunkContent.js";

/** A chunk of a section with its decoded items. */
export interface SectionLeaf {
    readonly digest: string;
    /** The chunk's text; undefined for a chunk that the store has already. */
    readonly text?: string;
    readonly content: ChunkContent;
}
