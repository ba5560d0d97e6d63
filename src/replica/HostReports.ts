import type { Clock } from "../time/index.js";
import type { HostReport } from "./HostReport.js";

/** A report expires after this time, in milliseconds, unless a newer one replaces it. */
const REPORT_LIFETIME_MS = 6_000;

/** A report with the time, in milliseconds of this host's clock, at which it was made. */
interface KnownReport extends Omit<HostReport, "ageMs"> {
    readonly time: number;
}

/**
 * The reports, by this and other hosts, of which hosts answer; the newest report about a host counts. A report that arrives again by
 * another path keeps the time of its first arrival, so that passing reports around does not prolong them.
 */
export class HostReports {
    readonly #clock: Clock;
    readonly #selfId: string;
    /** By the id of the host that the report is about, then by reporter. */
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

    /** Gets a number that rises each time a host becomes silent or answers again. */
    getVersion(): number {
        return this.#version;
    }

    /**
     * Adds a listener that runs each time a host becomes silent or answers again.
     * @param listener - What to run.
     */
    addListener(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Whether a host is reported silent.
     * @param id - The host's member id.
     */
    isSilent(id: string): boolean {
        return this.#findNewest(id)?.isSilent === true;
    }

    /**
     * Records that a host doesn't answer this one, unless another host has reported it recently.
     * @param id - The host's member id.
     */
    recordSilent(id: string): void {
        const newest = this.#findNewest(id);
        const isKnown = newest?.isSilent === true && newest.reporter !== this.#selfId &&
            this.#clock.getTime() - newest.time < REPORT_LIFETIME_MS / 2;
        if (!isKnown) {
            this.#recordOwn(id, true);
        }
    }

    /**
     * Records that a host has answered or called this one.
     * @param id - The host's member id.
     */
    recordContact(id: string): void {
        if (this.isSilent(id)) {
            this.#recordOwn(id, false);
        }
    }

    /**
     * Merges the reports received from another host.
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
     * Creates the reports to send to another host.
     * @param time - The time to which the ages refer, in milliseconds of the clock.
     */
    createReports(time: number): readonly HostReport[] {
        return [...this.#reports.keys()].flatMap(id => this.#findNewest(id) ?? [])
            .map(({ time: reportTime, ...report }) => ({ ...report, ageMs: Math.round(time - reportTime) }));
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
        return this.#clock.getTime() - report.time < REPORT_LIFETIME_MS;
    }
}
