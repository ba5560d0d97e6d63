import type { ConfigurationDocument } from "../../configuration/index.js";

/** A document from an input file, with the version that it was made from if the file holds it. */
export interface InputDocument {
    readonly document: ConfigurationDocument;
    readonly version: number | undefined;
}
