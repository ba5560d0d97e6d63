import type { SoakCall } from "../load/SoakCall.js";
import type { Finding } from "./Finding.js";
import type { SoakEvidence } from "./SoakEvidence.js";

/**
 * Checks that responses belong to their requests and that successes are whole.
 * @param evidence - What was seen.
 */
export function checkResponses({ calls, runs }: SoakEvidence): Finding[] {
    const runUpstreams = new Set(runs.map(run => `${run.id} ${run.upstream}`));
    return [...calls.values()].flatMap(call => {
        const detail = findFault(call, runUpstreams);
        return detail === undefined ? [] : [{ promise: "MIXED", detail, requests: [call.id] }];
    });
}

function findFault({ id, path, response }: SoakCall, runUpstreams: ReadonlySet<string>): string | undefined {
    if (response === undefined) {
        return undefined;
    }
    if (response.id !== undefined && response.id !== id) {
        return `was answered with the response to ${response.id}`;
    }
    const upstream = response.seal?.replace(/^seal-/, "");
    const isSuccess = response.status >= 200 && response.status < 300;
    if (upstream === undefined) {
        return isSuccess ? `was answered ${response.status} without an upstream's seal` : undefined;
    }
    if (!runUpstreams.has(`${id} ${upstream}`)) {
        return `was answered ${response.status} with the seal of ${upstream}, which did not run it`;
    }
    const expected = `answer of ${upstream} to ${path}`;
    return isSuccess && response.body !== expected ? `was answered "${response.body}", not "${expected}"` : undefined;
}
