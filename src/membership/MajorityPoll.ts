import type { Member, MembershipView } from "../head/index.js";
import { PeerMethod } from "../peers/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";
import { FRESHNESS_BOUND_MS } from "./FRESHNESS_BOUND_MS.js";
import { hasQuorum } from "./hasQuorum.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { StoppedMembers } from "./StoppedMembers.js";

const CALL_TIMEOUT_MS = 500;
const POLL_INTERVAL_MS = 50;
const MAX_CALLS_IN_FLIGHT = 64;

/** Polls the members for their installed head version until a majority has at least a given one. */
export class MajorityPoll {
    readonly #clock: Clock;
    readonly #transport: PeerTransport;
    readonly #self: Member;
    readonly #tracker: HeadTracker;
    readonly #stopped: StoppedMembers;

    /**
     * @param clock - The source of time.
     * @param transport - Sends the calls.
     * @param self - This host's own entry.
     * @param tracker - Holds the installed head.
     * @param stopped - Detects members whose hosts have stopped.
     */
    constructor(
        clock: Clock,
        transport: PeerTransport,
        self: Member,
        tracker: HeadTracker,
        stopped: StoppedMembers,
    ) {
        this.#clock = clock;
        this.#transport = transport;
        this.#self = self;
        this.#tracker = tracker;
        this.#stopped = stopped;
    }

    /**
     * Waits until a majority of each view has installed a version; returns whether it has. Answers older than the
     * freshness bound don't count, because the member may have restarted and lost the head.
     * @param version - The head version.
     * @param getViews - Gets the views of which a majority is needed at the moment.
     * @param timeoutMs - How long to wait, in milliseconds.
     * @param signal - Ends the wait when aborted.
     */
    async run(
        version: number,
        getViews: () => readonly MembershipView[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<boolean> {
        const deadline = this.#clock.getTime() + timeoutMs;
        const installedAt = new Map<string, number>();
        const inFlight = new Set<string>();
        while (!signal.aborted) {
            this.#recordSelf(version, installedAt);
            const views = getViews();
            if (views.length > 0 && views.every(view => this.#hasMajority(view, installedAt))) {
                return true;
            }
            if (this.#clock.getTime() >= deadline) {
                return false;
            }
            this.#sendCalls(version, views, installedAt, inFlight);
            await this.#clock.wait(POLL_INTERVAL_MS, signal).catch(() => {});
        }
        return false;
    }

    #recordSelf(version: number, installedAt: Map<string, number>): void {
        if (this.#tracker.getVersion() >= version) {
            installedAt.set(this.#self.id, this.#clock.getTime());
        }
    }

    #hasMajority(view: MembershipView, installedAt: ReadonlyMap<string, number>): boolean {
        const oldestCounted = this.#clock.getTime() - FRESHNESS_BOUND_MS;
        return hasQuorum(
            view,
            memberId => this.#stopped.isStopped(memberId),
            member => (installedAt.get(member.id) ?? -Infinity) >= oldestCounted,
        );
    }

    #sendCalls(
        version: number,
        views: readonly MembershipView[],
        installedAt: Map<string, number>,
        inFlight: Set<string>,
    ): void {
        const oldestCounted = this.#clock.getTime() - FRESHNESS_BOUND_MS / 2;
        for (const member of views.flatMap(view => view.members)) {
            const isConfirmed = (installedAt.get(member.id) ?? -Infinity) >= oldestCounted;
            if (!isConfirmed && member.id !== this.#self.id && inFlight.size < MAX_CALLS_IN_FLIGHT) {
                void this.#sendCall(member, version, installedAt, inFlight);
            }
        }
    }

    async #sendCall(
        member: Member,
        version: number,
        installedAt: Map<string, number>,
        inFlight: Set<string>,
    ): Promise<void> {
        if (inFlight.has(member.id)) {
            return;
        }
        inFlight.add(member.id);
        const sentAt = this.#clock.getTime();
        try {
            const params = { from: this.#self.peerAddress };
            const answer = await this.#transport.send(
                member.peerAddress,
                PeerMethod.GetInstalled,
                params,
                CALL_TIMEOUT_MS,
            );
            if (answer.from === member.id && answer.headVersion >= version) {
                installedAt.set(member.id, sentAt);
            }
        }
        catch {
            // The next round polls the member again.
        }
        finally {
            inFlight.delete(member.id);
        }
    }
}
