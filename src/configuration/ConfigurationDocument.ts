import type { Section } from "./Section.js";

/** The whole configuration document; its sections are keyed by name. */
export interface ConfigurationDocument {
    readonly sections: Readonly<Record<string, Section>>;
}
