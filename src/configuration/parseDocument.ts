import { FindingsError } from "../errors/index.js";
import { checkDocument, type DocumentCheckOptions } from "./checks/index.js";
import type { ConfigurationDocument } from "./ConfigurationDocument.js";
import { parseJson } from "./parseJson.js";

/**
 * Parses and checks a configuration document; throws a FindingsError with all findings.
 * @param text - The document as JSON.
 * @param options - The zones to check against and the sections that are already checked.
 */
export function parseDocument(text: string, options: DocumentCheckOptions = {}): ConfigurationDocument {
    const { document, findings } = checkDocument(parseJson(text), options);
    if (findings.length > 0) {
        throw new FindingsError(findings);
    }
    return document;
}
