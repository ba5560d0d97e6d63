import type { Member } from "../head/index.js";
import { PeerMethod } from "../peers/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import { decodeAges } from "./decodeAges.js";
import { encodeAges } from "./encodeAges.js";
import type { Freshness } from "./Freshness.js";
import type { GossipAnswer } from "./GossipAnswer.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { LayoutHistory } from "./LayoutHistory.js";
import { mergeHeadDelta } from "./mergeHeadDelta.js";
import type { PullTargets } from "./PullTargets.js";

const CALL_TIMEOUT_MS = 1_000;
const HEAD_TIMEOUT_MS = 2_000;
const INTERVAL_SPREAD = 0.2;
const PROBE_HELPERS = 2;

/** What gossip works with. */
interface GossipOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly self: Member;
    readonly tracker: HeadTracker;
    readonly evidence: ContactTimes;
    readonly freshness: Freshness;
    readonly layouts: LayoutHistory;
    readonly targets: PullTargets;
    readonly pullIntervalMs: number;
}

/** Pulls from other hosts what they know of the head and of the members. */
export class Gossip {
    readonly #options: GossipOptions;

    /** @param options - What it works with. */
    constructor(options: GossipOptions) {
        this.#options = options;
        const { handlers, tracker, transport, self } = options;
        handlers.add(PeerMethod.PullGossip, () => this.#createAnswer());
        handlers.add(PeerMethod.GetHead, request => ({ delta: tracker.createDelta(request) }));
        handlers.add(PeerMethod.GetInstalled, () => ({ from: self.id, headVersion: tracker.getVersion() }));
        handlers.add(PeerMethod.Probe, async params => {
            const request = { from: self.peerAddress };
            const call = transport.send(params.address, PeerMethod.GetInstalled, request, CALL_TIMEOUT_MS / 2);
            return { isAnswering: await call.then(() => true, () => false) };
        });
    }

    /**
     * Pulls at regular intervals until stopped; slow answers don't delay the next pull.
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random, pullIntervalMs, targets } = this.#options;
        while (!signal.aborted) {
            const address = targets.findNext();
            if (address !== undefined) {
                void this.#runPull(address, signal);
            }
            const spread = 1 + INTERVAL_SPREAD * (random.getNext() - 1 / 2);
            await clock.wait(pullIntervalMs * spread, signal);
        }
    }

    async #runPull(address: string, signal: AbortSignal): Promise<void> {
        const { clock, transport, self } = this.#options;
        const sentAt = clock.getTime();
        try {
            const params = { from: self.peerAddress };
            const answer = await transport.send(address, PeerMethod.PullGossip, params, CALL_TIMEOUT_MS);
            await this.#receive(address, answer, sentAt, signal);
        }
        catch {
            await this.#runProbe(address, sentAt);
        }
    }

    async #receive(address: string, answer: GossipAnswer, sentAt: number, signal: AbortSignal): Promise<void> {
        const { tracker, evidence } = this.#options;
        evidence.recordContact(answer.from, sentAt);
        if (answer.headVersion > tracker.getVersion()) {
            await this.#readHead(address);
        }
        if (!signal.aborted && answer.headVersion > 0) {
            this.#merge(answer, sentAt);
        }
    }

    async #readHead(address: string): Promise<void> {
        const { transport, self, tracker } = this.#options;
        const request = tracker.createRequest(self.peerAddress);
        const { delta } = await transport.send(address, PeerMethod.GetHead, request, HEAD_TIMEOUT_MS);
        const head = delta && mergeHeadDelta(delta, tracker.getHead());
        if (head !== undefined) {
            await tracker.apply(head);
        }
    }

    /** Ages count from the moment the request was sent, which is before the answer was made. */
    #merge(answer: GossipAnswer, sentAt: number): void {
        const { tracker, evidence, layouts, self } = this.#options;
        const isNoNewer = answer.headVersion <= tracker.getVersion();
        const ages = decodeAges(answer.ages);
        const memberIds = layouts.findMemberIds(answer.layout) ?? [];
        memberIds.forEach((memberId, index) => {
            const age = ages[index];
            if (age === undefined || memberId === self.id) {
                return;
            }
            if (isNoNewer) {
                evidence.recordHeadConfirmation(memberId, sentAt - age);
            }
            else {
                evidence.recordContact(memberId, sentAt - age);
            }
        });
        const storeAge = decodeAges(answer.storeAge)[0];
        if (isNoNewer && storeAge !== undefined) {
            evidence.recordStoreConfirmation(sentAt - storeAge);
        }
    }

    #createAnswer(): GossipAnswer {
        const { clock, tracker, evidence, freshness, layouts, self } = this.#options;
        const now = clock.getTime();
        const layout = layouts.getNewest();
        const hasVote = freshness.hasVote();
        const ages = layout.memberIds.map(memberId => {
            const time = memberId === self.id && hasVote ? now : evidence.getHeadConfirmationTime(memberId);
            return Number.isFinite(time) ? now - time : undefined;
        });
        const storeTime = evidence.getStoreConfirmationTime();
        return {
            from: self.id,
            incarnation: self.incarnation,
            headVersion: tracker.getVersion(),
            layout: layout.key,
            ages: encodeAges(ages),
            storeAge: encodeAges([Number.isFinite(storeTime) ? now - storeTime : undefined]),
        };
    }

    /** Asks others whether a host that gave no answer answers them; what they say only concerns reachability. */
    async #runProbe(address: string, sentAt: number): Promise<void> {
        const { transport, targets, evidence } = this.#options;
        const memberId = targets.findMemberId(address);
        if (memberId === undefined || evidence.getContactTime(memberId) >= sentAt) {
            return;
        }
        const calls = targets.findProbeRelays(address, PROBE_HELPERS).map(async helper => {
            const probeSentAt = this.#options.clock.getTime();
            const answer = await transport.send(helper, PeerMethod.Probe, { address }, CALL_TIMEOUT_MS);
            if (answer.isAnswering) {
                evidence.recordContact(memberId, probeSentAt);
            }
        });
        await Promise.allSettled(calls);
    }
}
