import type { Finding } from "../../errors/index.js";
import type { Section } from "../Section.js";

/** What a change makes of the sections. */
export interface MergeResult {
    readonly sections: Readonly<Record<string, Section>>;
    /** Sections that were put whole. */
    readonly putSections: ReadonlySet<string>;
    /** All sections that were put, removed or changed in an item. */
    readonly touchedSections: ReadonlySet<string>;
    readonly findings: readonly Finding[];
}
