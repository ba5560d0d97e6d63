import type { Finding } from "../../errors/index.js";
import type { SectionTree } from "../chunks/index.js";
import type { Section } from "../Section.js";

/** What a change makes of the sections. */
export interface MergeResult {
    /** The sections that were not put whole. */
    readonly trees: Readonly<Record<string, SectionTree>>;
    /** The sections that were put whole, not checked yet. */
    readonly putSections: Readonly<Record<string, Section>>;
    readonly removedSections: readonly string[];
    readonly findings: readonly Finding[];
}
