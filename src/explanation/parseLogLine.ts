import type { Finding } from "../errors/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import { logLineSchema } from "./logLineSchema.js";

const DECISION_FIELD = "\"decision\"";

/**
 * Parses a log line; returns undefined if the line holds no decision, and a finding if it can't be parsed.
 * Text before the JSON object is skipped, because log collectors may add a prefix.
 * @param text - The line's text.
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
