import type { ConfigurationDocument } from "../../configuration/index.js";

/** A document that an operator gave, with the version that it was made from if the file names it. */
export interface InputDocument {
    readonly document: ConfigurationDocument;
    readonly version: number | undefined;
}
