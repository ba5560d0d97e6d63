import type { Finding } from "../../errors/index.js";
import type { ConfigurationDocument } from "../ConfigurationDocument.js";

/** What came of checking a document. */
export interface DocumentCheck {
    /** The well-formed part of the document; the whole if nothing was found. */
    readonly document: ConfigurationDocument;
    readonly findings: readonly Finding[];
}
