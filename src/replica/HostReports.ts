import type { Clock } from "../time/index.js";
import type { HostReport } from "./HostReport.js";

/** A report counts for this long unless it is seen again, in milliseconds. */
const REPORT_SPAN_MS = 6_000;

interface KnownReport extends Omit<HostReport, "ageMs"> {
    readonly time: number;
}

/**
 * What this host knows of which other hosts answer; of the reports about a host the newest counts. A report that comes again by
 * another way keeps the time at which it came first, so that none grows younger on the way.
 */
export class HostReports {
    readonly #clock: Clock;
    readonly #selfId: string;
    /** By the host that they are about and by reporter. */
    readonly #reports = new Map<string, Map<string, KnownReport>>();
    readonly #listeners: (() => void)[] = [];
    #version = 0;

    /**
     * @param clock - The source of time.
     * @param selfId - This host's member id.
     */
    constructor(clock: Clock, selfId: string) {
        this.#clock = clock;
        this.#selfId = selfId;
    }

    /** Gets a number that rises when a host is found silent or answering again. */
    getVersion(): number {
        return this.#version;
    }

    /**
     * Adds a listener that runs when a host is found silent or answering again.
     * @param listener - What to run.
     */
    addListener(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Whether a host is known not to answer.
     * @param id - The host's member id.
     */
    isSilent(id: string): boolean {
        return this.#findNewest(id)?.isSilent === true;
    }

    /**
     * Records that a host doesn't answer this one; what another host has reported just now isn't reported once more.
     * @param id - The host's member id.
     */
    recordSilent(id: string): void {
        const newest = this.#findNewest(id);
        const isKnown = newest?.isSilent === true && newest.reporter !== this.#selfId &&
            this.#clock.getTime() - newest.time < REPORT_SPAN_MS / 2;
        if (!isKnown) {
            this.#recordOwn(id, true);
        }
    }

    /**
     * Records that a host has answered this one or called it.
     * @param id - The host's member id.
     */
    recordContact(id: string): void {
        if (this.isSilent(id)) {
            this.#recordOwn(id, false);
        }
    }

    /**
     * Merges the reports of another host.
     * @param reports - The reports.
     * @param time - The time to which their ages refer, in milliseconds of the clock.
     */
    merge(reports: readonly HostReport[], time: number): void {
        for (const { ageMs, ...report } of reports) {
            this.#add({ ...report, time: time - ageMs });
            if (report.id === this.#selfId) {
                this.recordContact(report.id);
            }
        }
    }

    /**
     * Creates what another host is told.
     * @param time - The time to which the ages refer, in milliseconds of the clock.
     */
    createReports(time: number): readonly HostReport[] {
        return [...this.#reports.keys()].flatMap(id => this.#findNewest(id) ?? [])
            .map(({ time: seen, ...report }) => ({ ...report, ageMs: Math.round(time - seen) }));
    }

    #recordOwn(id: string, isSilent: boolean): void {
        const stamp = this.#clock.getWallTime();
        this.#add({ id, reporter: this.#selfId, stamp, isSilent, time: this.#clock.getTime() });
    }

    #add(report: KnownReport): void {
        const { id, reporter } = report;
        const known = this.#reports.get(id)?.get(reporter);
        if ((known !== undefined && known.stamp >= report.stamp) || !this.#isCurrent(report)) {
            return;
        }
        const wasSilent = this.isSilent(id);
        const reports = this.#reports.get(id) ?? new Map<string, KnownReport>();
        this.#reports.set(id, reports.set(reporter, report));
        if (wasSilent !== this.isSilent(id)) {
            this.#version++;
            this.#listeners.forEach(listener => listener());
        }
    }

    #findNewest(id: string): KnownReport | undefined {
        let newest: KnownReport | undefined;
        for (const report of this.#getCurrent(id)) {
            newest = newest === undefined || report.time > newest.time ? report : newest;
        }
        return newest;
    }

    #getCurrent(id: string): KnownReport[] {
        const reports = this.#reports.get(id);
        if (reports === undefined) {
            return [];
        }
        [...reports.values()].filter(report => !this.#isCurrent(report)).forEach(({ reporter }) =>
            reports.delete(reporter)
        );
        if (reports.size === 0) {
            this.#reports.delete(id);
        }
        return [...reports.values()];
    }

    #isCurrent(report: KnownReport): boolean {
        return this.#clock.getTime() - report.time < REPORT_SPAN_MS;
    }
}
