import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Finding } from "../errors/index.js";
import { Decision } from "../logging/index.js";
import { isAttemptOfRequest } from "./isAttemptOfRequest.js";
import type { LogContents } from "./LogContents.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import { parseLogLine } from "./parseLogLine.js";

/** Decisions that change a host's state or its view of upstreams, other hosts and the store. */
const CONTEXT_DECISIONS: ReadonlySet<Decision> = new Set([
    Decision.ConfigurationApplied,
    Decision.RequestRateNamed,
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
 * Reads the decisions that are needed to explain a request from the logs of several hosts. Lines and files that can't be
 * read are reported as findings and skipped.
 * @param requestId - The request's id.
 * @param files - Paths of the log files.
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
                else if (isAttemptOfRequest(item.requestId, requestId)) {
                    decisions.push(item);
                }
                else if (CONTEXT_DECISIONS.has(item.decision)) {
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
