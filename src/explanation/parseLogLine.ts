import type { Finding } from "../errors/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import { logLineSchema } from "./logLineSchema.js";

const DECISION_FIELD = "\"decision\"";

/**
 * Parses a line of a log; returns undefined for a line that tells of no decision, and a finding for one that can't be read.
 * A collector may have put its own text before the JSON object.
 * @param text - The line.
 * @param file - The file's name.
 * @param line - The line's number, from 1.
 */
export function parseLogLine(text: string, file: string, line: number): LoggedDecision | Finding | undefined {
    const start = text.indexOf("{");
    if (start < 0 || !text.includes(DECISION_FIELD)) {
        return undefined;
    }
    const place = `${file}:${line}`;
    let value: unknown;
    try {
        value = JSON.parse(text.slice(start));
    }
    catch (error) {
        return { place, message: (error as Error).message };
    }
    const parsed = logLineSchema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        return { place, message: `${issue.path.join(".")}: ${issue.message}` };
    }
    const { hostname, ...decision } = parsed.data;
    return { ...decision, host: hostname, file, line } as LoggedDecision;
}
