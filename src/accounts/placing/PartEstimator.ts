import type { Service, ServicePart } from "../../configuration/index.js";
import type { PartLoadReport } from "../../services/index.js";
import type { Clock } from "../../time/index.js";
import type { PartCapacity } from "./PartCapacity.js";
import type { PartEstimate } from "./PartEstimate.js";
import type { PartLoad } from "./PartLoad.js";

/** A report is used for two of the intervals in which service hosts share their load, in milliseconds. */
const LOAD_LIFETIME_MS = 2_000;
/** The least served share of an estimate: a part whose upstreams fail still gets some requests, which show when it has recovered. */
const MIN_SERVED_SHARE = 0.05;

/** Estimates the free slots, the wait and the served share of parts from their last reports and from what was sent since. */
export class PartEstimator {
    readonly #clock: Clock;
    readonly #loads = new Map<string, PartLoad>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records that an attempt was sent to a part.
     * @param service - The service's name.
     * @param partKey - The part's key.
     */
    recordSent(service: string, partKey: string): void {
        const load = this.#loads.get(createLoadKey(service, partKey));
        if (load !== undefined) {
            load.sentSinceReport++;
        }
    }

    /**
     * Records the load that a service host reported, unless a newer report is known.
     * @param service - The service's name.
     * @param report - The part's load.
     */
    recordLoad(service: string, report: PartLoadReport): void {
        const key = createLoadKey(service, report.part);
        const time = this.#clock.getTime() - report.ageMs;
        const known = this.#loads.get(key);
        if (known === undefined || known.time < time || report.ageMs === 0) {
            this.#loads.set(key, { report, time, sentSinceReport: 0 });
        }
    }

    /**
     * Creates the estimate of a part of a service. A part without a recent report counts as free of load, its capacity as unknown.
     * @param service - The service.
     * @param part - The part.
     */
    createEstimate(service: Service, part: ServicePart): PartEstimate {
        const load = this.#loads.get(createLoadKey(service.name, part.key));
        if (load === undefined || this.#clock.getTime() - load.time > LOAD_LIFETIME_MS) {
            return { part, freeSlots: part.slots, servedShare: 1, capacity: undefined };
        }
        const { report, sentSinceReport } = load;
        const freeSlots = report.freeSlots - report.queued - sentSinceReport;
        const servedShare = Math.max(MIN_SERVED_SHARE, Math.min(1, report.capacity?.servedShare ?? 1));
        return { part, freeSlots, servedShare, capacity: findCapacity(load, freeSlots) };
    }
}

/** A host of an older version reports no usable slots: its free slots don't count as such, and without any it counts as full. */
function findCapacity({ report, sentSinceReport }: PartLoad, freeSlots: number): PartCapacity | undefined {
    if (report.capacity === undefined) {
        return freeSlots > 0 ? undefined : { slots: 0, slotTimeMs: 0, backlog: -freeSlots };
    }
    const { slots, slotTimeMs, waitMs } = report.capacity;
    const queued = slotTimeMs > 0 ? waitMs * slots / slotTimeMs : 0;
    return { slots, slotTimeMs, backlog: Math.max(queued, report.queued) + sentSinceReport - report.freeSlots };
}

function createLoadKey(service: string, partKey: string): string {
    return JSON.stringify([service, partKey]);
}
