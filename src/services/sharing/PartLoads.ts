import type { Clock } from "../../time/index.js";
import type { PartLoadReport } from "./PartLoadReport.js";

/** Reports older than two report intervals are ignored, in milliseconds. */
const MAX_AGE_MS = 2_000;
/** Reports sent with one response, which bounds the size of its head. */
const MAX_REPORTS = 24;

interface ReceivedLoad extends Omit<PartLoadReport, "ageMs"> {
    readonly time: number;
}

/** Stores the latest load reports of the other parts of a service. */
export class PartLoads {
    readonly #clock: Clock;
    /** Load by part key, least recently reported first. */
    readonly #loads = new Map<string, ReceivedLoad>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records a load report from the host of another part.
     * @param report - The report.
     */
    record({ ageMs, ...load }: PartLoadReport): void {
        this.#loads.delete(load.part);
        this.#loads.set(load.part, { ...load, time: this.#clock.getTime() - ageMs });
    }

    /**
     * Whether a part has recently reported that it has no free slot.
     * @param part - The key of the part.
     */
    isFull(part: string): boolean {
        const load = this.#loads.get(part);
        return load !== undefined && this.#clock.getTime() - load.time <= MAX_AGE_MS && load.freeSlots === 0;
    }

    /** Gets the recent reports, at most as many as fit into one response. */
    getReports(): readonly PartLoadReport[] {
        const now = this.#clock.getTime();
        return [...this.#loads.values()].filter(({ time }) => now - time <= MAX_AGE_MS).slice(-MAX_REPORTS)
            .map(({ time, ...load }) => ({ ...load, ageMs: Math.round(now - time) }));
    }
}
