import type { Head, HeadStore, Member, MembershipView } from "../head/index.js";
import { PeerMethod } from "../peers/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { MajorityPoll } from "./MajorityPoll.js";
import { mergeViewEdits } from "./mergeViewEdits.js";
import { RendezvousTable } from "./RendezvousTable.js";
import type { StoppedMembers } from "./StoppedMembers.js";
import type { ViewEdit } from "./ViewEdit.js";
import { ViewEditKind } from "./ViewEditKind.js";

const STEP_INTERVAL_MS = 100;
const STEP_JITTER_MS = 200;
const FAILURE_BACKOFF_MS = 1_000;
const RANK_DELAY_MS = 1_000;
const RESEND_INTERVAL_MS = 2_000;
const MAX_SEND_ATTEMPTS = 3;
const CALL_TIMEOUT_MS = 1_000;
const PROMOTION_TIMEOUT_MS = 2_000;
const WRITER_KEY = "view-writer";

type HeadUpdate = ReturnType<Parameters<HeadStore["apply"]>[1]>;

/** Dependencies of the view writer. */
interface ViewWriterOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly headStore: HeadStore;
    readonly self: Member;
    readonly tracker: HeadTracker;
    readonly stopped: StoppedMembers;
    readonly poll: MajorityPoll;
    readonly isReachable: (memberId: string) => boolean;
    /** Whether the store's last answer was that it holds no head. */
    readonly isStoreEmpty: () => boolean;
}

/** Writes changes of view to the head: proposes a view with all pending changes, and later makes it the active view. */
export class ViewWriter {
    readonly #options: ViewWriterOptions;
    readonly #pendingEdits = new Map<string, ViewEdit>();
    readonly #conditionsSince = new Map<string, number>();
    #ownEdit: ViewEdit;
    #nextSendTime = -Infinity;
    #sendAttempts = 0;
    #nextChangeNumber = 1;

    /** @param options - Dependencies and settings. */
    constructor(options: ViewWriterOptions) {
        this.#options = options;
        this.#ownEdit = { kind: ViewEditKind.Join, member: options.self };
        options.handlers.add(PeerMethod.EditView, edit => {
            this.#pendingEdits.set(edit.member.id, edit);
            return { isTaken: true };
        });
    }

    /** Starts to leave the view: from now on this host requests its removal. */
    leave(): void {
        this.#ownEdit = { kind: ViewEditKind.Leave, member: this.#options.self };
        this.#nextSendTime = -Infinity;
        this.#sendAttempts = 0;
    }

    /**
     * Sends and writes changes of view until stopped.
     * @param signal - Stops the task when aborted.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random } = this.#options;
        while (!signal.aborted) {
            await clock.wait(STEP_INTERVAL_MS + random.getNext() * STEP_JITTER_MS, signal);
            try {
                await this.#runStep(signal);
            }
            catch {
                await clock.wait(FAILURE_BACKOFF_MS * (1 + random.getNext()), signal);
            }
        }
    }

    async #runStep(signal: AbortSignal): Promise<void> {
        const head = this.#options.tracker.getHead();
        if (head === undefined) {
            if (this.#options.isStoreEmpty()) {
                await this.#writeFirstHead();
            }
            return;
        }
        this.#removeAppliedEdits(head);
        if (hasEffect(head, this.#ownEdit)) {
            await this.#sendOwnEdit(head);
        }
        if (head.nextView !== undefined) {
            await this.#applyProposedView(head.nextView, signal);
        }
        else if (this.#pendingEdits.size > 0 || this.#isRemovalDue(head)) {
            await this.#writeEdits();
        }
    }

    /** Creates the head, unless another host has created it already. */
    async #writeFirstHead(): Promise<void> {
        await this.#write(head =>
            head.version > 0 ? undefined : { sections: {}, view: { version: 1, members: [this.#options.self] } }
        );
    }

    #removeAppliedEdits(head: Head): void {
        for (const [memberId, edit] of [...this.#pendingEdits]) {
            if (!hasEffect(head, edit)) {
                this.#pendingEdits.delete(memberId);
            }
        }
    }

    /** Sends this host's change to another member, which batches changes; writes it itself after MAX_SEND_ATTEMPTS. */
    async #sendOwnEdit(head: Head): Promise<void> {
        const { clock, random, transport } = this.#options;
        if (clock.getTime() < this.#nextSendTime) {
            return;
        }
        const others = this.#getWriters(head.view).filter(member => member.id !== this.#ownEdit.member.id);
        const writer = this.#sendAttempts < MAX_SEND_ATTEMPTS ? others[this.#sendAttempts] : undefined;
        this.#sendAttempts++;
        if (writer === undefined) {
            this.#pendingEdits.set(this.#ownEdit.member.id, this.#ownEdit);
            return;
        }
        const call = transport.send(writer.peerAddress, PeerMethod.EditView, this.#ownEdit, CALL_TIMEOUT_MS);
        const isTaken = await call.then(answer => answer.isTaken, () => false);
        if (isTaken) {
            this.#nextSendTime = clock.getTime() + RESEND_INTERVAL_MS * (1 + random.getNext());
        }
    }

    /**
     * Whether this host acts on a condition: the first reachable member in the ranking at once, each next one
     * RANK_DELAY_MS later if the condition still holds.
     */
    #isResponsible(head: Head, condition: string): boolean {
        const now = this.#options.clock.getTime();
        const since = this.#conditionsSince.get(condition);
        if (since === undefined) {
            this.#conditionsSince.clear();
            this.#conditionsSince.set(condition, now);
        }
        const writers = this.#getWriters(head.nextView ?? head.view);
        const rank = writers.findIndex(member => member.id === this.#options.self.id);
        return rank >= 0 && now - (since ?? now) >= rank * RANK_DELAY_MS;
    }

    #getWriters(view: MembershipView): readonly Member[] {
        const { isReachable } = this.#options;
        return new RendezvousTable(view.members).getRanking(WRITER_KEY).filter(member => isReachable(member.id));
    }

    #isRemovalDue(head: Head): boolean {
        return this.#findStopped(head).length > 0 && this.#isResponsible(head, `removal after ${head.view.version}`);
    }

    #findStopped(head: Head): readonly Member[] {
        return head.view.members.filter(member => this.#options.stopped.isStopped(member.id));
    }

    async #writeEdits(): Promise<void> {
        await this.#write(head => {
            if (head.nextView !== undefined) {
                return undefined;
            }
            const removals = this.#findStopped(head).map(member => ({ kind: ViewEditKind.Leave as const, member }));
            const members = mergeViewEdits(head.view.members, [...removals, ...this.#pendingEdits.values()]);
            if (members === undefined) {
                return undefined;
            }
            const next: MembershipView = { version: head.version + 1, members };
            return head.view.members.length === 0 ?
                { sections: head.sections, view: next } :
                { sections: head.sections, view: head.view, nextView: next };
        });
    }

    /**
     * Makes the proposed view active once a majority of the active view has installed a head that proposes it. From
     * then on no majority of the replaced view can confirm an older head.
     */
    async #applyProposedView(nextView: MembershipView, signal: AbortSignal): Promise<void> {
        const { tracker, poll } = this.#options;
        const head = tracker.getHead()!;
        if (!this.#isResponsible(head, `promotion of ${nextView.version}`)) {
            return;
        }
        const isStopped = head.view.members.every(member => this.#options.stopped.isStopped(member.id));
        const isInstalled = isStopped ||
            await poll.run(nextView.version, () => [head.view], PROMOTION_TIMEOUT_MS, signal);
        if (!isInstalled) {
            return;
        }
        await this.#write(stored =>
            stored.nextView?.version === nextView.version ? { sections: stored.sections, view: nextView } : undefined
        );
    }

    async #write(change: (head: Head) => HeadUpdate): Promise<void> {
        const { headStore, self, tracker } = this.#options;
        const changeId = `${self.id}-${self.incarnation}-view-${this.#nextChangeNumber++}`;
        await tracker.apply(await headStore.apply(changeId, change));
    }
}

function hasEffect(head: Head, edit: ViewEdit): boolean {
    return mergeViewEdits((head.nextView ?? head.view).members, [edit]) !== undefined;
}
