/** Where a section of the configuration document is stored. */
export interface SectionReference {
    readonly owners: readonly string[];
    /** The head version of the section's last change. */
    readonly version: number;
    /** Digests of the immutable chunks that hold the section, in order. */
    readonly chunks: readonly string[];
}
