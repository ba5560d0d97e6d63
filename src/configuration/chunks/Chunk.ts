/** An immutable part of a section, named by the digest of its text. */
export interface Chunk {
    readonly digest: string;
    readonly text: string;
}
