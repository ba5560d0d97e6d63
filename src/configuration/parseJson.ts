import { FindingsError } from "../errors/index.js";

const POSITION_PATTERN = /at position (\d+)/;

/**
 * Parses JSON; throws a FindingsError with the line and column of a syntax error.
 * @param text - The JSON text.
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch (error) {
        const { message } = error as SyntaxError;
        throw new FindingsError([{ place: formatPosition(text, message), message }]);
    }
}

function formatPosition(text: string, message: string): string {
    const position = POSITION_PATTERN.exec(message)?.[1];
    const before = text.slice(0, position === undefined ? text.length : Number(position)).split("\n");
    return `line ${before.length}, column ${(before.at(-1)?.length ?? 0) + 1}`;
}
