import { checkDocument, parseJson } from "../../configuration/index.js";
import { FindingsError } from "../../errors/index.js";
import type { InputDocument } from "./InputDocument.js";
import { readInputFile } from "./readInputFile.js";

/**
 * Reads and checks a document from a file; throws a FindingsError with everything found. The file may be the output of
 * "show" and then names the version that it was made from.
 * @param path - The file's path.
 * @param zones - The availability zones that upstreams may stand in; any if undefined.
 */
export async function readInputDocument(path: string, zones?: readonly string[]): Promise<InputDocument> {
    const value = parseJson(await readInputFile(path));
    const fields = typeof value === "object" && value !== null ? value as Readonly<Record<string, unknown>> : {};
    const { version, ...rest } = fields;
    const isShown = typeof version === "number";
    const { document, findings } = checkDocument(isShown ? rest : value, zones === undefined ? {} : { zones });
    if (findings.length > 0) {
        throw new FindingsError(findings);
    }
    return { document, version: isShown ? version : undefined };
}
