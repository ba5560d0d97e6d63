import type { z } from "zod";
import type { Finding } from "../../errors/index.js";
import { formatPlace } from "./formatPlace.js";

/**
 * Checks a value against a schema.
 * @param schema - The schema.
 * @param value - The value.
 * @param place - The value's path in the document.
 * @param findings - The list to which the findings are added.
 * @returns The checked value; undefined if there are findings.
 */
export function checkSchema<T>(
    schema: z.ZodType<T>,
    value: unknown,
    place: string,
    findings: Finding[],
): T | undefined {
    const result = schema.safeParse(value);
    if (result.success) {
        return result.data;
    }
    for (const issue of result.error.issues) {
        findings.push({ place: formatPlace(place, issue.path) || "document", message: issue.message });
    }
    return undefined;
}
