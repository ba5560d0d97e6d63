import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Finding } from "../errors/index.js";
import { Decision } from "../logging/index.js";
import { isOfRequest } from "./isOfRequest.js";
import type { LogContents } from "./LogContents.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import { parseLogLine } from "./parseLogLine.js";

/** Decisions that change what a host believes or does, besides those on the request itself. */
const CONTEXT: ReadonlySet<Decision> = new Set([
    Decision.ConfigurationApplied,
    Decision.DependencyChanged,
    Decision.Drained,
    Decision.Ejected,
    Decision.EjectionWithheld,
    Decision.HandedOver,
    Decision.Quarantined,
    Decision.Restored,
    Decision.Started,
    Decision.Stopped,
    Decision.SupplyChanged,
]);

/**
 * Reads from the logs of several hosts what tells of a request; what can't be read is reported and the rest goes on.
 * @param requestId - The request.
 * @param files - The files' paths.
 */
export async function readLogs(requestId: string, files: readonly string[]): Promise<LogContents> {
    const decisions: LoggedDecision[] = [];
    const context: LoggedDecision[] = [];
    const findings: Finding[] = [];
    for (const file of files) {
        try {
            for await (const item of readLines(file)) {
                if ("message" in item) {
                    findings.push(item);
                }
                else if (isOfRequest(item.requestId, requestId)) {
                    decisions.push(item);
                }
                else if (CONTEXT.has(item.decision)) {
                    context.push(item);
                }
            }
        }
        catch (error) {
            findings.push({ place: file, message: (error as Error).message });
        }
    }
    return { decisions, context, findings };
}

async function* readLines(file: string): AsyncGenerator<LoggedDecision | Finding> {
    let number = 0;
    for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        number++;
        const item = parseLogLine(text, file, number);
        if (item !== undefined) {
            yield item;
        }
    }
}
