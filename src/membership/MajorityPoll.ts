import type { Member, MembershipView } from "../head/index.js";
import { PeerMethod } from "../peers/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";
import { FRESHNESS_BOUND_MS } from "./FRESHNESS_BOUND_MS.js";
import { hasQuorum } from "./hasQuorum.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { StoppedMembers } from "./StoppedMembers.js";

const CALL_TIMEOUT_MS = 500;
const ROUND_INTERVAL_MS = 50;
const MAX_CALLS_IN_FLIGHT = 64;

/** Asks the members which head they have installed, until a majority has a wanted version. */
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
     * @param tracker - Holds the head.
     * @param stopped - The members known to have stopped.
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
     * freshness bound don't count, since a member that has restarted since may have lost the head.
     * @param version - The head version.
     * @param getViews - Gets the views that count at the moment.
     * @param timeoutMs - How long to wait, in milliseconds.
     * @param signal - Ends the wait.
     */
    async run(
        version: number,
        getViews: () => readonly MembershipView[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<boolean> {
        const deadline = this.#clock.getTime() + timeoutMs;
        const installed = new Map<string, number>();
        const inFlight = new Set<string>();
        while (!signal.aborted) {
            this.#recordSelf(version, installed);
            const views = getViews();
            if (views.length > 0 && views.every(view => this.#hasMajority(view, installed))) {
                return true;
            }
            if (this.#clock.getTime() >= deadline) {
                return false;
            }
            this.#sendCalls(version, views, installed, inFlight);
            await this.#clock.wait(ROUND_INTERVAL_MS, signal).catch(() => {});
        }
        return false;
    }

    #recordSelf(version: number, installed: Map<string, number>): void {
        if (this.#tracker.getVersion() >= version) {
            installed.set(this.#self.id, this.#clock.getTime());
        }
    }

    #hasMajority(view: MembershipView, installed: ReadonlyMap<string, number>): boolean {
        const oldest = this.#clock.getTime() - FRESHNESS_BOUND_MS;
        return hasQuorum(
            view,
            memberId => this.#stopped.isStopped(memberId),
            member => (installed.get(member.id) ?? -Infinity) >= oldest,
        );
    }

    #sendCalls(
        version: number,
        views: readonly MembershipView[],
        installed: Map<string, number>,
        inFlight: Set<string>,
    ): void {
        const oldest = this.#clock.getTime() - FRESHNESS_BOUND_MS / 2;
        for (const member of views.flatMap(view => view.members)) {
            const isKnown = (installed.get(member.id) ?? -Infinity) >= oldest;
            if (!isKnown && member.id !== this.#self.id && inFlight.size < MAX_CALLS_IN_FLIGHT) {
                void this.#sendCall(member, version, installed, inFlight);
            }
        }
    }

    async #sendCall(
        member: Member,
        version: number,
        installed: Map<string, number>,
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
                installed.set(member.id, sentAt);
            }
        }
        catch {
            // It is asked again in the next round.
        }
        finally {
            inFlight.delete(member.id);
        }
    }
}
