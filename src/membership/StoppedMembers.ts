import type { HostList } from "../hostlist/index.js";
import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import { FRESHNESS_BOUND_MS } from "./FRESHNESS_BOUND_MS.js";
import { getHeadMembers } from "./getHeadMembers.js";
import type { HeadTracker } from "./HeadTracker.js";

const LIST_INTERVAL_MS = 2_000;
const DEFAULT_LIST_LAG_MS = 10_000;

/** Knows the members that the platform's list has dropped for longer than its lag, and that nobody has heard since. */
export class StoppedMembers {
    readonly #clock: Clock;
    readonly #hostList: HostList;
    readonly #tracker: HeadTracker;
    readonly #evidence: ContactTimes;
    readonly #listLagMs: number;
    readonly #absentSince = new Map<string, number>();
    #listedAddresses: readonly string[] = [];

    /**
     * @param clock - The source of time.
     * @param hostList - The platform's list.
     * @param tracker - Holds the head.
     * @param evidence - Tells when a member was heard.
     * @param listLagMs - How far the list may lag, in milliseconds.
     */
    constructor(
        clock: Clock,
        hostList: HostList,
        tracker: HeadTracker,
        evidence: ContactTimes,
        listLagMs = DEFAULT_LIST_LAG_MS,
    ) {
        this.#clock = clock;
        this.#hostList = hostList;
        this.#tracker = tracker;
        this.#evidence = evidence;
        this.#listLagMs = listLagMs;
    }

    /**
     * Whether a member counts as stopped.
     * @param memberId - The member's id.
     */
    isStopped(memberId: string): boolean {
        const absentSince = this.#absentSince.get(memberId);
        if (absentSince === undefined) {
            return false;
        }
        const now = this.#clock.getTime();
        return now - absentSince > this.#listLagMs &&
            now - this.#evidence.getContactTime(memberId) > FRESHNESS_BOUND_MS;
    }

    /** Gets the peer addresses of the newest list. */
    getListedAddresses(): readonly string[] {
        return this.#listedAddresses;
    }

    /**
     * Reads the list again and again until stopped.
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#readList();
            await this.#clock.wait(LIST_INTERVAL_MS, signal);
        }
    }

    async #readList(): Promise<void> {
        try {
            const hosts = await this.#hostList.getHosts();
            this.#listedAddresses = hosts.map(host => host.address);
            this.#recordAbsent();
        }
        catch {
            // While the list is away, no member begins to count as absent.
        }
    }

    #recordAbsent(): void {
        const listed = new Set(this.#listedAddresses);
        const head = this.#tracker.getHead();
        const members = head === undefined ? [] : getHeadMembers(head);
        const absent = new Set(members.filter(member => !listed.has(member.peerAddress)).map(member => member.id));
        for (const memberId of [...this.#absentSince.keys()].filter(id => !absent.has(id))) {
            this.#absentSince.delete(memberId);
        }
        for (const memberId of absent) {
            if (!this.#absentSince.has(memberId)) {
                this.#absentSince.set(memberId, this.#clock.getTime());
            }
        }
    }
}
