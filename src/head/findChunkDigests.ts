import type { SectionReference } from "./SectionReference.js";

/**
 * Finds the digests of all chunks that sections refer to.
 * @param sections - The sections.
 */
export function findChunkDigests(sections: Readonly<Record<string, SectionReference>>): Set<string> {
    return new Set(Object.values(sections).flatMap(section => section.chunks));
}
