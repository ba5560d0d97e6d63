import { checkDocument, parseJson } from "../../configuration/index.js";
import { FindingsError } from "../../errors/index.js";
import type { InputDocument } from "./InputDocument.js";
import { readInputFile } from "./readInputFile.js";

/**
 * Reads a document from a file and checks it; throws a FindingsError with all findings. The file may be the output of
 * "show", which includes the version that the document was made from.
 * @param path - The file's path.
 * @param zones - The availability zones that upstreams may be in; any if undefined.
 */
export async function readInputDocument(path: string, zones?: readonly string[]): Promise<InputDocument> {
    const value = parseJson(await readInputFile(path));
    const fields = typeof value === "object" && value !== null ? value as Readonly<Record<string, unknown>> : {};
    const { version, ...rest } = fields;
    const hasVersion = typeof version === "number";
    const { document, findings } = checkDocument(hasVersion ? rest : value, zones === undefined ? {} : { zones });
    if (findings.length > 0) {
        throw new FindingsError(findings);
    }
    return { document, version: hasVersion ? version : undefined };
}
