import type { Upstream } from "../../configuration/index.js";
import type { Clock } from "../../time/index.js";
import type { UpstreamNoticeReport } from "./UpstreamNoticeReport.js";

/**
 * How long an upstream whose restarts can't be detected counts as leaving, in milliseconds; it may have started again by then. Without
 * requests it can't say so.
 */
const LEAVING_LIFETIME_MS = 60_000;

type LeavingListener = () => void;

/** Reports sent at once, those heard of last, which bounds the size of an answer's head. */
const MAX_REPORTS = 24;
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
    readonly #leavingListeners: LeavingListener[] = [];

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds a listener that runs when an upstream is newly known to leave, or may have started again.
     * @param listener - What to run.
     */
    addLeavingListener(listener: LeavingListener): void {
        this.#leavingListeners.push(listener);
    }

    /**
     * Records that an upstream leaves; returns whether that is new.
     * @param upstream - The upstream.
     */
    recordLeaving(upstream: Upstream): boolean {
        if (this.isLeaving(upstream)) {
            return false;
        }
        this.#recordOwn(upstream, { ...this.#find(upstream), isLeaving: true });
        this.#publishLeaving();
        if (upstream.incarnation === undefined) {
            this.#clock.schedule(LEAVING_LIFETIME_MS, () => this.#publishLeaving());
        }
        return true;
    }

    /**
     * Whether an upstream has said that it leaves.
     * @param upstream - The upstream.
     */
    isLeaving(upstream: Upstream): boolean {
        const notice = this.#find(upstream);
        const isLasting = upstream.incarnation !== undefined ||
            (notice !== undefined && this.#clock.getTime() - notice.time < LEAVING_LIFETIME_MS);
        return isLasting && notice?.isLeaving === true;
    }

    /**
     * Records the request rate that an upstream has named; returns whether it differs from the one known before.
     * @param upstream - The upstream.
     * @param requestRate - Requests per second; Infinity for no limit.
     */
    recordRequestRate(upstream: Upstream, requestRate: number): boolean {
        const known = this.getRequestRate(upstream);
        const isLimited = Number.isFinite(requestRate);
        if (isLimited || Number.isFinite(known)) {
            const isLeaving = this.isLeaving(upstream);
            this.#recordOwn(upstream, { ...(isLimited ? { requestRate } : {}), ...(isLeaving ? { isLeaving } : {}) });
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
            const isNewer = known === undefined || known.time < time;
            const isLeaving = known?.isLeaving === true || report.isLeaving === true;
            if (isNewer || (isLeaving && known.isLeaving !== true)) {
                const newest = isNewer ? { ...report, time } : known;
                this.#record({ ...newest, ...(isLeaving ? { isLeaving } : {}) });
            }
            if (isLeaving && known?.isLeaving !== true) {
                this.#publishLeaving();
            }
        }
    }

    /**
     * Gets the requests per second that an upstream accepts from all hosts together; Infinity if it has named no limit.
     * @param upstream - The upstream.
     */
    getRequestRate(upstream: Upstream): number {
        return this.#find(upstream)?.requestRate ?? Infinity;
    }

    /**
     * Gets the newest reports about the upstreams that leave or have named a limit, whether or not it still applies.
     * @param upstreams - The upstreams to report.
     */
    getReports(upstreams: readonly Upstream[]): readonly UpstreamNoticeReport[] {
        if (this.#notices.size === 0) {
            return [];
        }
        const now = this.#clock.getTime();
        return upstreams.flatMap(upstream => this.#find(upstream) ?? [])
            .sort((left, right) => right.time - left.time).slice(0, MAX_REPORTS)
            .map(({ time, ...notice }) => ({ ...notice, ageMs: Math.round(now - time) }));
    }

    #publishLeaving(): void {
        this.#leavingListeners.forEach(listener => listener());
    }

    #find({ name, incarnation }: Upstream): ReceivedNotice | undefined {
        return this.#notices.get(getIdentity(name, incarnation));
    }

    #recordOwn(
        { name, incarnation }: Upstream,
        { requestRate, isLeaving }: Pick<ReceivedNotice, "requestRate" | "isLeaving">,
    ): void {
        this.#record({
            upstream: name,
            ...(incarnation === undefined ? {} : { incarnation }),
            ...(requestRate === undefined ? {} : { requestRate }),
            ...(isLeaving === undefined ? {} : { isLeaving }),
            time: this.#clock.getTime(),
        });
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
