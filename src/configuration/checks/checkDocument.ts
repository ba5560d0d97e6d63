import { checkPaths } from "./checkPaths.js";
import { checkReferences } from "./checkReferences.js";
import { checkUniqueness } from "./checkUniqueness.js";
import { checkZones } from "./checkZones.js";
import type { DocumentCheckOptions } from "./DocumentCheckOptions.js";
import type { DocumentCheckResult } from "./DocumentCheckResult.js";
import { DocumentReader } from "./DocumentReader.js";

/**
 * Checks each item of a document individually and the items of all sections against each other.
 * @param value - The parsed JSON of the document.
 * @param options - The zones to check against and the sections that are already checked.
 */
export function checkDocument(value: unknown, options: DocumentCheckOptions = {}): DocumentCheckResult {
    const reader = new DocumentReader(options.checkedSections ?? new Set());
    const document = reader.read(value);
    const zoneFindings = options.zones === undefined ? [] : checkZones(reader, options.zones);
    const findings = [
        ...reader.findings,
        ...checkUniqueness(reader),
        ...checkReferences(reader),
        ...checkPaths(reader),
        ...zoneFindings,
    ];
    return { document, findings };
}
