import type { ReplicaEvent } from "./ReplicaEvent.js";
import type { RevisionGap } from "./RevisionGap.js";
import type { SnapshotPart } from "./SnapshotPart.js";

type ReplicaListener = (events: readonly ReplicaEvent[]) => void;
/** Whether a value differs from the one before in nothing that matters. */
type MinorCheck = (key: string, previous: string, next: string) => boolean;

/** How many of the newest changes are kept to pass on. */
const MAX_CHANGES = 2_000;

/** A copy of the items of a store with its revision. An item never goes back to an earlier revision. */
export class Replica {
    /** The newest event of each key; removed keys stay, so that an older write does not bring them back. */
    readonly #events = new Map<string, ReplicaEvent>();
    readonly #listeners: ReplicaListener[] = [];
    readonly #changes: ReplicaEvent[] = [];
    /** Where a whole reading may hide changes that came and went. */
    #jumps: RevisionGap[] = [];
    /** The changes since this revision are kept. */
    #changesStart = 0;
    #revision = 0;
    readonly #isMinor: MinorCheck;

    /** @param isMinor - Whether a value differs from the one before in nothing that matters; such changes aren't passed on. */
    constructor(isMinor: MinorCheck = () => false) {
        this.#isMinor = isMinor;
    }

    /** Gets the revision up to which all changes are known; 0 before the first read. */
    getRevision(): number {
        return this.#revision;
    }

    /** Gets all items, the removed ones too. */
    getEvents(): readonly ReplicaEvent[] {
        return [...this.#events.values()];
    }

    /**
     * Whether anything that matters has changed since a revision, as far as is known.
     * @param revision - The revision.
     */
    hasChanges(revision: number): boolean {
        return revision < this.#changesStart || this.#changes.some(event => event.revision > revision);
    }

    /**
     * Finds the changes since a revision; undefined if they are no longer known.
     * @param revision - The revision.
     */
    findChanges(revision: number): readonly ReplicaEvent[] | undefined {
        const isJumpedOver = this.#jumps.some(({ from, to }) => from < revision && revision < to);
        return revision < this.#changesStart || isJumpedOver
            ? undefined
            : this.#changes.filter(event => event.revision > revision);
    }

    /**
     * Finds the jumps among the changes since a revision, for those that take the changes from here.
     * @param revision - The revision.
     */
    findGaps(revision: number): readonly RevisionGap[] {
        return this.#jumps.filter(jump => jump.to > revision);
    }

    /**
     * Adds a listener that runs after each change.
     * @param listener - Receives the events that changed something.
     */
    addListener(listener: ReplicaListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Applies all changes after the known revision, or later ones that overlap with it.
     * @param events - The events in the order of their revisions.
     * @param revision - The revision up to which they are complete.
     * @param jumps - Between which revisions changes that came and went are not among them.
     */
    applyEvents(events: readonly ReplicaEvent[], revision: number, jumps: readonly RevisionGap[] = []): void {
        this.#jumps.push(...jumps.filter(jump => jump.to > this.#revision));
        const applied = events.filter(event => this.#isNews(event) && this.#applyEvent(event));
        this.#addChanges(applied, revision);
        this.#report(applied);
    }

    /**
     * Applies a whole reading; what it no longer holds is removed.
     * @param parts - The items by prefix.
     */
    applySnapshot(parts: readonly SnapshotPart[]): void {
        const applied = parts.flatMap(part => [
            ...part.items.filter(item =>
                (part.revision >= this.#revision || this.#isNews(item)) && this.#applyEvent(item)
            ),
            ...this.#findMissing(part).filter(event => this.#applyEvent(event)),
        ]);
        const revision = Math.min(...parts.map(part => part.revision));
        if (this.#revision === 0) {
            this.#changesStart = revision;
        }
        else if (revision > this.#revision) {
            this.#jumps.push({ from: this.#revision, to: revision });
        }
        this.#addChanges(applied, revision);
        this.#report(applied);
    }

    #findMissing(part: SnapshotPart): readonly ReplicaEvent[] {
        const keys = new Set(part.items.map(item => item.key));
        return [...this.#events.values()].filter(event =>
            event.value !== undefined && event.key.startsWith(part.prefix) && !keys.has(event.key) &&
            event.revision <= part.revision
        ).map(event => ({ key: event.key, revision: part.revision }));
    }

    /** An item that is unknown although all changes up to its revision are known has been removed since. */
    #isNews(event: ReplicaEvent): boolean {
        return this.#events.has(event.key) || event.revision > this.#revision;
    }

    #applyEvent(event: ReplicaEvent): boolean {
        const known = this.#events.get(event.key);
        if (known !== undefined && known.revision >= event.revision) {
            return false;
        }
        this.#events.set(event.key, event);
        if (known === undefined || known.value === undefined || event.value === undefined) {
            return known?.value !== event.value;
        }
        return !this.#isMinor(event.key, known.value, event.value);
    }

    #addChanges(events: readonly ReplicaEvent[], revision: number): void {
        this.#changes.push(...events);
        if (this.#changes.length > MAX_CHANGES) {
            const dropped = this.#changes.splice(0, this.#changes.length - MAX_CHANGES);
            this.#changesStart = Math.max(this.#changesStart, ...dropped.map(event => event.revision));
        }
        this.#revision = Math.max(this.#revision, revision);
        this.#jumps = this.#jumps.filter(jump => jump.to > this.#changesStart);
    }

    #report(events: readonly ReplicaEvent[]): void {
        if (events.length > 0) {
            this.#listeners.forEach(listener => listener(events));
        }
    }
}
