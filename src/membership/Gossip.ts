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
const HEAD_CALL_TIMEOUT_MS = 2_000;
const INTERVAL_JITTER = 0.2;
const PROBE_RELAY_COUNT = 2;

/** Dependencies and settings of the gossip. */
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

/** Pulls head versions and confirmation ages from other hosts, and answers their pulls. */
export class Gossip {
    readonly #options: GossipOptions;

    /** @param options - Dependencies and settings. */
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
     * Pulls at jittered intervals until stopped; slow answers don't delay the next pull.
     * @param signal - Stops the task when aborted.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random, pullIntervalMs, targets } = this.#options;
        while (!signal.aborted) {
            const address = targets.findNext();
            if (address !== undefined) {
                void this.#runPull(address, signal);
            }
            const jitter = 1 + INTERVAL_JITTER * (random.getNext() - 1 / 2);
            await clock.wait(pullIntervalMs * jitter, signal);
        }
    }

    async #runPull(address: string, signal: AbortSignal): Promise<void> {
        const { clock, transport, self } = this.#options;
        const sentAt = clock.getTime();
        try {
            const params = { from: self.peerAddress };
            const answer = await transport.send(address, PeerMethod.PullGossip, params, CALL_TIMEOUT_MS);
            await this.#receiveAnswer(address, answer, sentAt, signal);
        }
        catch {
            await this.#sendIndirectProbes(address, sentAt);
        }
    }

    async #receiveAnswer(address: string, answer: GossipAnswer, sentAt: number, signal: AbortSignal): Promise<void> {
        const { tracker, evidence: contactTimes } = this.#options;
        contactTimes.recordContact(answer.from, sentAt);
        if (answer.headVersion > tracker.getVersion()) {
            await this.#readHead(address);
        }
        if (!signal.aborted && answer.headVersion > 0) {
            this.#mergeAnswer(answer, sentAt);
        }
    }

    async #readHead(address: string): Promise<void> {
        const { transport, self, tracker } = this.#options;
        const request = tracker.createRequest(self.peerAddress);
        const { delta } = await transport.send(address, PeerMethod.GetHead, request, HEAD_CALL_TIMEOUT_MS);
        const head = delta && mergeHeadDelta(delta, tracker.getHead());
        if (head !== undefined) {
            await tracker.apply(head);
        }
    }

    /** Counts ages from the time the request was sent, since the answer was created after it. */
    #mergeAnswer(answer: GossipAnswer, sentAt: number): void {
        const { tracker, evidence: contactTimes, layouts, self } = this.#options;
        const isHeadUpToDate = answer.headVersion <= tracker.getVersion();
        const ages = decodeAges(answer.ages);
        const memberIds = layouts.findMemberIds(answer.layout) ?? [];
        memberIds.forEach((memberId, index) => {
            const age = ages[index];
            if (age === undefined || memberId === self.id) {
                return;
            }
            if (isHeadUpToDate) {
                contactTimes.recordHeadConfirmation(memberId, sentAt - age);
            }
            else {
                contactTimes.recordContact(memberId, sentAt - age);
            }
        });
        const storeAge = decodeAges(answer.storeAge)[0];
        if (isHeadUpToDate && storeAge !== undefined) {
            contactTimes.recordStoreConfirmation(sentAt - storeAge);
        }
    }

    #createAnswer(): GossipAnswer {
        const { clock, tracker, evidence: contactTimes, freshness, layouts, self } = this.#options;
        const now = clock.getTime();
        const layout = layouts.getNewest();
        const hasVote = freshness.hasVote();
        const ages = layout.memberIds.map(memberId => {
            const time = memberId === self.id && hasVote ? now : contactTimes.getHeadConfirmationTime(memberId);
            return Number.isFinite(time) ? now - time : undefined;
        });
        const storeTime = contactTimes.getStoreConfirmationTime();
        return {
            from: self.id,
            incarnation: self.incarnation,
            headVersion: tracker.getVersion(),
            layout: layout.key,
            ages: encodeAges(ages),
            storeAge: encodeAges([Number.isFinite(storeTime) ? now - storeTime : undefined]),
        };
    }

    /** Probes a host that didn't answer through other members; the results affect only its reachability. */
    async #sendIndirectProbes(address: string, sentAt: number): Promise<void> {
        const { transport, targets, evidence: contactTimes } = this.#options;
        const memberId = targets.findMemberId(address);
        if (memberId === undefined || contactTimes.getContactTime(memberId) >= sentAt) {
            return;
        }
        const calls = targets.findProbeRelays(address, PROBE_RELAY_COUNT).map(async relay => {
            const probeSentAt = this.#options.clock.getTime();
            const answer = await transport.send(relay, PeerMethod.Probe, { address }, CALL_TIMEOUT_MS);
            if (answer.isAnswering) {
                contactTimes.recordContact(memberId, probeSentAt);
            }
        });
        await Promise.allSettled(calls);
    }
}
