/** Where a section of the configuration document is stored. */
export interface SectionReference {
    readonly owners: readonly string[];
    /** The head version that changed the section last. */
    readonly version: number;
    /** Digests of the immutable chunks that hold the section, in order. */
    readonly chunks: readonly string[];
}
