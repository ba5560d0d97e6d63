import type { z } from "zod";
import { FindingsError } from "../errors/index.js";

/**
 * Validates a value against a schema; throws a FindingsError with all validation errors and their locations.
 * @param schema - The schema.
 * @param value - The value.
 */
export function parseValue<Schema extends z.ZodType>(schema: Schema, value: unknown): z.output<Schema> {
    const result = schema.safeParse(value);
    if (result.success) {
        return result.data;
    }
    throw new FindingsError(result.error.issues.map(issue => ({
        place: issue.path.length === 0 ? "(root)" : issue.path.join("."),
        message: issue.message,
    })));
}
