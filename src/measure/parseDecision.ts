import type { LoggedDecision } from "./LoggedDecision.js";

interface LogLine {
    readonly decision?: string;
    readonly upstream?: string;
    readonly reason?: string;
    readonly time?: string | number;
}

/**
 * Parses a line of an entry host's log; returns undefined if the line holds no decision.
 * @param line - The line.
 */
export function parseDecision(line: string): LoggedDecision | undefined {
    const { decision, upstream, reason, time } = parseLine(line);
    if (decision === undefined || time === undefined) {
        return undefined;
    }
    return { decision, upstream, reason, time: new Date(time).getTime() };
}

function parseLine(line: string): LogLine {
    try {
        return JSON.parse(line) as LogLine;
    }
    catch {
        return {};
    }
}
