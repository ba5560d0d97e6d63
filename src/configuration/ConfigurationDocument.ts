import type { Section } from "./Section.js";

/** The whole configuration document, by section name. */
export interface ConfigurationDocument {
    readonly sections: Readonly<Record<string, Section>>;
}
