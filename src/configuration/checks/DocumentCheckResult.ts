import type { Finding } from "../../errors/index.js";
import type { ConfigurationDocument } from "../ConfigurationDocument.js";

/** The result of checking a document. */
export interface DocumentCheckResult {
    /** The well-formed part of the document; the complete document if there are no findings. */
    readonly document: ConfigurationDocument;
    readonly findings: readonly Finding[];
}
