import { Disturbances } from "../faults/Disturbances.js";
import type { SoakCall } from "../load/SoakCall.js";
import type { Finding } from "./Finding.js";
import type { PromiseBounds } from "./PromiseBounds.js";
import type { SoakEvidence } from "./SoakEvidence.js";

/**
 * Checks that hosts in touch follow changes in time: keys that were added or withdrawn, upstreams that leave.
 * @param evidence - What was seen.
 * @param bounds - The times.
 */
export function checkChanges(evidence: SoakEvidence, bounds: PromiseBounds): Finding[] {
    return [
        ...[...evidence.calls.values()].flatMap(call => checkKey(evidence, bounds, call)),
        ...checkLeaving(evidence, bounds),
    ];
}

function checkKey(evidence: SoakEvidence, bounds: PromiseBounds, call: SoakCall): Finding[] {
    const key = call.key === undefined ? undefined : evidence.keys.find(call.key);
    const { sentTime, endTime, host, response } = call;
    if (key === undefined || response === undefined) {
        return [];
    }
    const requests = [call.id];
    const { withdrawnTime, addedTime } = key;
    if (withdrawnTime !== undefined && response.seal !== undefined && sentTime > withdrawnTime + bounds.applyMs) {
        const detail = `ran with a key that was withdrawn ${Math.round(sentTime - withdrawnTime)} ms before`;
        return isBound(evidence, bounds, host, withdrawnTime, endTime) ? [{ promise: "CONFIG", detail, requests }] : [];
    }
    const isAllowed = withdrawnTime === undefined || endTime < withdrawnTime;
    if (isAllowed && response.status === 401 && sentTime > addedTime + bounds.applyMs) {
        const detail = `was answered 401 with a key that was added ${Math.round(sentTime - addedTime)} ms before`;
        return isBound(evidence, bounds, host, addedTime, endTime) ? [{ promise: "DENIED", detail, requests }] : [];
    }
    return [];
}

/** Whether a host had to know of a change: in touch from the change on or for long enough before the request. */
function isBound(
    { disturbances }: SoakEvidence,
    { applyMs }: PromiseBounds,
    host: string,
    changeTime: number,
    endTime: number,
): boolean {
    // A change that the store lost right after its acknowledgement may have reached no host.
    const wasKept = disturbances.isCalm([Disturbances.store], changeTime, changeTime + applyMs);
    return wasKept && disturbances.isCalm([host, Disturbances.store], Math.max(changeTime, endTime - applyMs), endTime);
}

function checkLeaving(evidence: SoakEvidence, bounds: PromiseBounds): Finding[] {
    return evidence.runs.flatMap(run => {
        const leavingTime = evidence.leavingTimes.get(run.upstream);
        const call = evidence.calls.get(run.id);
        if (leavingTime === undefined || call === undefined || run.time <= leavingTime + bounds.drainMs) {
            return [];
        }
        const hosts = [call.host, ...evidence.findHosts(run.id)];
        const targets = [...hosts, evidence.addresses.get(run.upstream)!, Disturbances.store];
        const detail = `ran at ${run.upstream} ${Math.round(run.time - leavingTime)} ms after it was said to leave`;
        return evidence.disturbances.isCalm(targets, leavingTime, run.time)
            ? [{ promise: "DRAIN", detail, requests: [run.id] }]
            : [];
    });
}
