import type { SoakCall } from "../load/SoakCall.js";
import type { Finding } from "./Finding.js";
import { SERVICES_BY_PREFIX } from "./SERVICES_BY_PREFIX.js";
import type { SoakArrival } from "./SoakArrival.js";
import type { SoakEvidence } from "./SoakEvidence.js";

const WINDOW_MS = 10_000;
/** Retries that a service allows for each of its requests. */
const RETRY_BUDGET = 0.2;
/** Retries in a window beyond the budget that the sites of the platform tolerate. */
const SLACK = 58;

/** The worst window of a service. */
interface RetryWindow {
    readonly repeated: readonly string[];
    readonly allowed: number;
}

/**
 * Checks that within any ten seconds a service gets no more arrivals beyond the first of each request than its retry budget allows.
 * @param evidence - What was seen.
 */
export function checkRetries({ calls, arrivals }: SoakEvidence): Finding[] {
    const services = [...new Set(arrivals.map(({ service }) => service))];
    return services.flatMap(service => {
        const sentTimes = [...calls.values()].filter(call => isFor(call, service)).map(({ sentTime }) => sentTime);
        const repeated = findRepeated(arrivals.filter(arrival => arrival.service === service));
        const worst = findWorstWindow(repeated, sentTimes);
        return worst === undefined ? [] : [{
            promise: "BUDGET",
            detail: `${service} got ${worst.repeated.length} requests again within ${WINDOW_MS} ms, ${
                Math.floor(worst.allowed)
            } allowed`,
            requests: worst.repeated,
        }];
    });
}

function isFor(call: SoakCall, service: string): boolean {
    const services: readonly string[] = SERVICES_BY_PREFIX.find(([prefix]) => call.path.startsWith(prefix))![1];
    return services.includes(service);
}

/** Finds the arrivals beyond the first of each request, oldest first. */
function findRepeated(arrivals: readonly SoakArrival[]): SoakArrival[] {
    const seen = new Set<string>();
    return [...arrivals].sort((left, right) => left.time - right.time).filter(({ id }) => {
        const isRepeated = seen.has(id);
        seen.add(id);
        return isRepeated;
    });
}

/** The requests are counted in the window, the one before it or half a window before it, whichever has most. */
function findWorstWindow(repeated: readonly SoakArrival[], sentTimes: readonly number[]): RetryWindow | undefined {
    const getCount = (start: number): number =>
        sentTimes.filter(time => time >= start && time <= start + WINDOW_MS).length;
    let worst: RetryWindow | undefined;
    for (const { time: start } of repeated) {
        const inWindow = repeated.filter(({ time }) => time >= start && time <= start + WINDOW_MS);
        const requests = Math.max(getCount(start), getCount(start - WINDOW_MS / 2), getCount(start - WINDOW_MS));
        const allowed = RETRY_BUDGET * requests + SLACK;
        if (inWindow.length > allowed && inWindow.length > (worst?.repeated.length ?? 0)) {
            worst = { repeated: inWindow.map(({ id }) => id), allowed };
        }
    }
    return worst;
}
