import { checkPaths } from "./checkPaths.js";
import { checkReferences } from "./checkReferences.js";
import { checkUniqueness } from "./checkUniqueness.js";
import { checkZones } from "./checkZones.js";
import type { DocumentCheck } from "./DocumentCheck.js";
import type { DocumentCheckOptions } from "./DocumentCheckOptions.js";
import { DocumentReader } from "./DocumentReader.js";

/**
 * Checks a document: each item by itself, and the items of all sections against one another.
 * @param value - The document as it came.
 * @param options - What it is checked against besides itself.
 */
export function checkDocument(value: unknown, options: DocumentCheckOptions = {}): DocumentCheck {
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
