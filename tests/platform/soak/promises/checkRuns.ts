import type { Finding } from "./Finding.js";
import { SERVICES_BY_PREFIX } from "./SERVICES_BY_PREFIX.js";
import type { SoakEvidence } from "./SoakEvidence.js";
import type { SoakRun } from "./SoakRun.js";

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks that orders run at most once and never after a refusal, and that requests run unchanged, for the account of
 * their key and at their route's service.
 * @param evidence - What was seen.
 */
export function checkRuns(evidence: SoakEvidence): Finding[] {
    const seen = new Map<string, SoakRun>();
    return evidence.runs.flatMap(run => {
        const findings = checkRun(evidence, run);
        const call = evidence.calls.get(run.id);
        const first = seen.get(run.id);
        if (call?.isOrder === true && first !== undefined) {
            const detail = `ran at ${first.upstream} and, ${
                Math.round(run.time - first.time)
            } ms later, at ${run.upstream}`;
            findings.push({ promise: "TWICE", detail, requests: [run.id] });
        }
        seen.set(run.id, run);
        const status = call?.response?.status ?? 0;
        if (call?.isOrder === true && NOT_RUN_STATUSES.has(status)) {
            const detail = `was answered ${status} and ran ${Math.round(run.time - call.endTime)} ms after the answer`;
            findings.push({ promise: "REFUSED", detail, requests: [run.id] });
        }
        return findings;
    });
}

function checkRun({ calls, keys }: SoakEvidence, run: SoakRun): Finding[] {
    const requests = [run.id];
    const call = calls.get(run.id);
    if (call === undefined) {
        return [{ promise: "UNASKED", detail: "ran, and no caller sent it", requests }];
    }
    const findings: Finding[] = [];
    if (run.path !== call.path || run.body !== call.body) {
        findings.push({ promise: "UNASKED", detail: `ran as ${run.path} ${run.body}`, requests });
    }
    const account = call.key === undefined ? undefined : keys.find(call.key)?.account;
    if (run.account !== account) {
        findings.push({ promise: "UNASKED", detail: `ran for ${run.account}, its key is of ${account}`, requests });
    }
    if (run.hasKey) {
        findings.push({ promise: "UNASKED", detail: "its key was passed on", requests });
    }
    const services: readonly string[] = SERVICES_BY_PREFIX.find(([prefix]) => call.path.startsWith(prefix))![1];
    if (!services.includes(run.service)) {
        findings.push({ promise: "ROUTE", detail: `ran at ${run.service}, its path is ${call.path}`, requests });
    }
    return findings;
}
