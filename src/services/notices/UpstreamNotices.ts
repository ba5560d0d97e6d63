import type { Upstream } from "../../configuration/index.js";
import type { Clock } from "../../time/index.js";
import type { UpstreamNoticeReport } from "./UpstreamNoticeReport.js";

/** The upstreams heard of least recently are forgotten beyond this number. */
const MAX_UPSTREAMS = 1_000;

interface ReceivedNotice extends Omit<UpstreamNoticeReport, "ageMs"> {
    /** The time of the response, in milliseconds of the clock. */
    readonly time: number;
}

/** What upstreams last said about themselves in their responses, to this host or to others; kept for each incarnation. */
export class UpstreamNotices {
    readonly #clock: Clock;
    /** By identity, least recently heard of first. */
    readonly #notices = new Map<string, ReceivedNotice>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records the request rate that an upstream has named; returns whether it differs from the one known before.
     * @param upstream - The upstream.
     * @param requestRate - Requests per second; Infinity for no limit.
     */
    recordRequestRate({ name, incarnation }: Upstream, requestRate: number): boolean {
        const known = this.getRequestRate({ name, incarnation });
        const isLimited = Number.isFinite(requestRate);
        if (isLimited || Number.isFinite(known)) {
            this.#record({
                upstream: name,
                ...(incarnation === undefined ? {} : { incarnation }),
                ...(isLimited ? { requestRate } : {}),
                time: this.#clock.getTime(),
            });
        }
        return known !== requestRate;
    }

    /**
     * Records what other hosts have heard, unless this host has heard something newer.
     * @param reports - The reports.
     */
    recordReports(reports: readonly UpstreamNoticeReport[]): void {
        for (const { ageMs, ...report } of reports) {
            const time = this.#clock.getTime() - ageMs;
            const known = this.#notices.get(getIdentity(report.upstream, report.incarnation));
            if (known === undefined || known.time < time) {
                this.#record({ ...report, time });
            }
        }
    }

    /**
     * Gets the requests per second that an upstream accepts from all hosts together; Infinity if it has named no limit.
     * @param upstream - The upstream.
     */
    getRequestRate({ name, incarnation }: Pick<Upstream, "name"> & { incarnation?: string | undefined; }): number {
        return this.#notices.get(getIdentity(name, incarnation))?.requestRate ?? Infinity;
    }

    /**
     * Gets the reports about the upstreams that have named a limit, whether or not it still applies.
     * @param upstreams - The upstreams to report.
     */
    getReports(upstreams: readonly Upstream[]): readonly UpstreamNoticeReport[] {
        if (this.#notices.size === 0) {
            return [];
        }
        const now = this.#clock.getTime();
        return upstreams.flatMap(({ name, incarnation }) => this.#notices.get(getIdentity(name, incarnation)) ?? [])
            .map(({ time, ...notice }) => ({ ...notice, ageMs: Math.round(now - time) }));
    }

    #record(notice: ReceivedNotice): void {
        const identity = getIdentity(notice.upstream, notice.incarnation);
        this.#notices.delete(identity);
        this.#notices.set(identity, notice);
        if (this.#notices.size > MAX_UPSTREAMS) {
            this.#notices.delete(this.#notices.keys().next().value!);
        }
    }
}

function getIdentity(name: string, incarnation: string | undefined): string {
    return `${name} ${incarnation ?? ""}`;
}
