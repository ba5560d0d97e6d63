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

const STEP_MS = 100;
const STEP_SPREAD_MS = 200;
const FAILURE_PAUSE_MS = 1_000;
const TURN_STEP_MS = 1_000;
const RESEND_MS = 2_000;
const MAX_SENDS = 3;
const CALL_TIMEOUT_MS = 1_000;
const PROMOTION_TIMEOUT_MS = 2_000;
const DUTY = "view-writer";

type HeadContent = ReturnType<Parameters<HeadStore["apply"]>[1]>;

/** What changes of view work with. */
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
    /** Whether the store answered that it holds no head. */
    readonly isStoreEmpty: () => boolean;
}

/** Writes changes of view to the head: proposes them, several in one write, and promotes a proposed view. */
export class ViewWriter {
    readonly #options: ViewWriterOptions;
    readonly #pending = new Map<string, ViewEdit>();
    readonly #turnsSince = new Map<string, number>();
    #ownEdit: ViewEdit;
    #nextSendTime = -Infinity;
    #sends = 0;
    #nextChange = 1;

    /** @param options - What it works with. */
    constructor(options: ViewWriterOptions) {
        this.#options = options;
        this.#ownEdit = { kind: ViewEditKind.Join, member: options.self };
        options.handlers.add(PeerMethod.EditView, edit => {
            this.#pending.set(edit.member.id, edit);
            return { isTaken: true };
        });
    }

    /** Gives up membership: from now on this host asks to be removed from the view. */
    leave(): void {
        this.#ownEdit = { kind: ViewEditKind.Leave, member: this.#options.self };
        this.#nextSendTime = -Infinity;
        this.#sends = 0;
    }

    /**
     * Works on changes of view until stopped.
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random } = this.#options;
        while (!signal.aborted) {
            await clock.wait(STEP_MS + random.getNext() * STEP_SPREAD_MS, signal);
            try {
                await this.#runStep(signal);
            }
            catch {
                await clock.wait(FAILURE_PAUSE_MS * (1 + random.getNext()), signal);
            }
        }
    }

    async #runStep(signal: AbortSignal): Promise<void> {
        const head = this.#options.tracker.getHead();
        if (head === undefined) {
            if (this.#options.isStoreEmpty()) {
                await this.#writeFirst();
            }
            return;
        }
        this.#removeDone(head);
        if (isWanted(head, this.#ownEdit)) {
            await this.#sendOwnEdit(head);
        }
        if (head.nextView !== undefined) {
            await this.#applyProposed(head.nextView, signal);
        }
        else if (this.#pending.size > 0 || this.#isRemovalDue(head)) {
            await this.#writeEdits();
        }
    }

    /** Creates the head; leaves it if another host was first. */
    async #writeFirst(): Promise<void> {
        await this.#write(head =>
            head.version > 0 ? undefined : { sections: {}, view: { version: 1, members: [this.#options.self] } }
        );
    }

    #removeDone(head: Head): void {
        for (const [memberId, edit] of [...this.#pending]) {
            if (!isWanted(head, edit)) {
                this.#pending.delete(memberId);
            }
        }
    }

    /** Asks another member to write the change together with others'; writes it itself after a few tries. */
    async #sendOwnEdit(head: Head): Promise<void> {
        const { clock, random, transport } = this.#options;
        if (clock.getTime() < this.#nextSendTime) {
            return;
        }
        const others = this.#getWriters(head.view).filter(member => member.id !== this.#ownEdit.member.id);
        const writer = this.#sends < MAX_SENDS ? others[this.#sends] : undefined;
        this.#sends++;
        if (writer === undefined) {
            this.#pending.set(this.#ownEdit.member.id, this.#ownEdit);
            return;
        }
        const call = transport.send(writer.peerAddress, PeerMethod.EditView, this.#ownEdit, CALL_TIMEOUT_MS);
        const isTaken = await call.then(answer => answer.isTaken, () => false);
        if (isTaken) {
            this.#nextSendTime = clock.getTime() + RESEND_MS * (1 + random.getNext());
        }
    }

    /** The first member in the duty's order acts at once, each further one a while later if nothing has happened. */
    #isTurn(head: Head, condition: string): boolean {
        const now = this.#options.clock.getTime();
        const since = this.#turnsSince.get(condition);
        if (since === undefined) {
            this.#turnsSince.clear();
            this.#turnsSince.set(condition, now);
        }
        const writers = this.#getWriters(head.nextView ?? head.view);
        const rank = writers.findIndex(member => member.id === this.#options.self.id);
        return rank >= 0 && now - (since ?? now) >= rank * TURN_STEP_MS;
    }

    #getWriters(view: MembershipView): readonly Member[] {
        const { isReachable } = this.#options;
        return new RendezvousTable(view.members).getRanking(DUTY).filter(member => isReachable(member.id));
    }

    #isRemovalDue(head: Head): boolean {
        return this.#findStopped(head).length > 0 && this.#isTurn(head, `removal after ${head.view.version}`);
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
            const members = mergeViewEdits(head.view.members, [...removals, ...this.#pending.values()]);
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
     * Puts the proposed view in force once a majority of the view in force has installed a head that proposes it: from
     * then on no majority of the view in force can vouch for an older head.
     */
    async #applyProposed(nextView: MembershipView, signal: AbortSignal): Promise<void> {
        const { tracker, poll } = this.#options;
        const head = tracker.getHead()!;
        if (!this.#isTurn(head, `promotion of ${nextView.version}`)) {
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

    async #write(change: (head: Head) => HeadContent): Promise<void> {
        const { headStore, self, tracker } = this.#options;
        const changeId = `${self.id}-${self.incarnation}-view-${this.#nextChange++}`;
        await tracker.apply(await headStore.apply(changeId, change));
    }
}

function isWanted(head: Head, edit: ViewEdit): boolean {
    return mergeViewEdits((head.nextView ?? head.view).members, [edit]) !== undefined;
}
