import { readFile } from "node:fs/promises";
import type { z } from "zod";
import { FindingsError } from "../errors/index.js";
import { parseValue } from "./parseValue.js";

/**
 * Reads a JSON file and validates it against a schema; throws a FindingsError with all errors and their locations.
 * @param file - The file's path.
 * @param schema - The schema.
 */
export async function readJsonFile<Schema extends z.ZodType>(
    file: string,
    schema: Schema,
): Promise<z.output<Schema>> {
    return parseValue(schema, parseJson(file, await readText(file)));
}

async function readText(file: string): Promise<string> {
    try {
        return await readFile(file, "utf8");
    }
    catch (error) {
        throw createFinding(file, error);
    }
}

function parseJson(file: string, text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (error) {
        throw createFinding(file, error);
    }
}

function createFinding(place: string, error: unknown): FindingsError {
    return new FindingsError([{ place, message: error instanceof Error ? error.message : String(error) }]);
}
