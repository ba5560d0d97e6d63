import { FindingsError } from "../errors/index.js";
import { checkDocument, type DocumentCheckOptions } from "./checks/index.js";
import type { ConfigurationDocument } from "./ConfigurationDocument.js";
import { parseJson } from "./parseJson.js";

/**
 * Parses and checks a configuration document; throws a FindingsError with everything found.
 * @param text - The document as JSON.
 * @param options - What it is checked against besides itself.
 */
export function parseDocument(text: string, options: DocumentCheckOptions = {}): ConfigurationDocument {
    const { document, findings } = checkDocument(parseJson(text), options);
    if (findings.length > 0) {
        throw new FindingsError(findings);
    }
    return document;
}
