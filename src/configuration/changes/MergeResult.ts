import type { Finding } from "../../errors/index.js";
import type { SectionTree } from "../chunks/index.js";
import type { Section } from "../Section.js";

/** The sections after a change was merged into them, and the findings against the change. */
export interface MergeResult {
    /** The sections that were not replaced as a whole. */
    readonly trees: Readonly<Record<string, SectionTree>>;
    /** The sections that were replaced as a whole, not checked yet. */
    readonly putSections: Readonly<Record<string, Section>>;
    readonly removedSections: readonly string[];
    readonly findings: readonly Finding[];
}
