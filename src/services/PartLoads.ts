import type { Clock } from "../time/index.js";
import type { PartLoadReport } from "./PartLoadReport.js";

/** Figures older than this say nothing any more, in milliseconds: two reports of a part. */
const MAX_AGE_MS = 2_000;
/** Parts told with one answer, so that its head stays small however many parts a service has. */
const MAX_REPORTS = 24;

interface KnownLoad extends Omit<PartLoadReport, "ageMs"> {
    readonly time: number;
}

/** How loaded the other parts of a service are, as their hosts have told last. */
export class PartLoads {
    readonly #clock: Clock;
    /** The part that was told longest ago first. */
    readonly #loads = new Map<string, KnownLoad>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records what the host of another part has told.
     * @param report - Its figures.
     */
    record({ ageMs, ...load }: PartLoadReport): void {
        this.#loads.delete(load.part);
        this.#loads.set(load.part, { ...load, time: this.#clock.getTime() - ageMs });
    }

    /**
     * Whether a part has told lately that it has no free slot.
     * @param part - The part's key.
     */
    isFull(part: string): boolean {
        const load = this.#loads.get(part);
        return load !== undefined && this.#clock.getTime() - load.time <= MAX_AGE_MS && load.freeSlots === 0;
    }

    /** Gets the latest of what is known. */
    getReports(): readonly PartLoadReport[] {
        const now = this.#clock.getTime();
        return [...this.#loads.values()].filter(({ time }) => now - time <= MAX_AGE_MS).slice(-MAX_REPORTS)
            .map(({ time, ...load }) => ({ ...load, ageMs: Math.round(now - time) }));
    }
}
