import type { ReplicaEvent } from "./ReplicaEvent.js";
import type { RevisionGap } from "./RevisionGap.js";
import type { SnapshotPart } from "./SnapshotPart.js";

type EpochListener = (epoch: number) => void;
type ReplicaListener = (events: readonly ReplicaEvent[]) => void;
/** Whether a new value of an item differs from the previous one only in ways that need no notification. */
type MinorChangeCheck = (key: string, previous: string, next: string) => boolean;

/** How many keys' newest changes are kept for other hosts to pull. */
const MAX_CHANGES = 2_000;
/** How many revision gaps are kept. */
const MAX_GAPS = 100;

/**
 * A copy of the store's items with the store's epoch and revision. Within an epoch, an item never returns to an earlier revision; the
 * revisions of two epochs can't be compared. The replica never returns to an earlier epoch.
 */
export class Replica {
    /** The newest event of each key that is not removed, or was removed after the known revision. */
    readonly #events = new Map<string, ReplicaEvent>();
    /** Keys of removals in the events. */
    readonly #removedKeys = new Set<string>();
    readonly #listeners: ReplicaListener[] = [];
    readonly #epochListeners: EpochListener[] = [];
    /** The newest change of each key, changed least recently first. An earlier change of a key is of no use to a host that pulls. */
    readonly #changes = new Map<string, ReplicaEvent>();
    /** Revision ranges skipped by a snapshot, which does not show changes that were undone before it. */
    #gaps: RevisionGap[] = [];
    /** The newest change after this revision is kept for every key. */
    #changesStart = 0;
    #revision = 0;
    #epoch = 0;
    readonly #isMinorChange: MinorChangeCheck;

    /**
     * @param isMinorChange - Whether a new value differs from the previous one only in ways that need no notification; such changes
     * are neither reported to listeners nor pulled by other hosts.
     */
    constructor(isMinorChange: MinorChangeCheck = () => false) {
        this.#isMinorChange = isMinorChange;
    }

    /** Gets the revision up to which all changes are known; 0 before the first snapshot. */
    getRevision(): number {
        return this.#revision;
    }

    /** Gets the store's epoch, to which all revisions belong. */
    getEpoch(): number {
        return this.#epoch;
    }

    /** Gets the newest event of each item; some removed ones are among them. */
    getEvents(): readonly ReplicaEvent[] {
        return [...this.#events.values()];
    }

    /**
     * Whether there are changes since a revision, or they are no longer known; minor changes do not count.
     * @param revision - The revision.
     */
    hasChanges(revision: number): boolean {
        return revision < this.#changesStart || this.#findChangesAfter(revision).length > 0;
    }

    /**
     * Finds the newest change of each key since a revision; undefined if they are no longer known.
     * @param revision - The revision.
     */
    findChanges(revision: number): readonly ReplicaEvent[] | undefined {
        const isInsideGap = this.#gaps.some(({ from, to }) => from < revision && revision < to);
        return revision < this.#changesStart || isInsideGap
            ? undefined
            : this.#findChangesAfter(revision);
    }

    /**
     * Finds the revision gaps after a revision, for a host that pulls the changes from this one.
     * @param revision - The revision.
     */
    findGaps(revision: number): readonly RevisionGap[] {
        return this.#gaps.filter(gap => gap.to > revision);
    }

    /**
     * Adds a listener that runs after each change.
     * @param listener - Receives the events that changed something.
     */
    addListener(listener: ReplicaListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Adds a listener that runs when the replica moves to another epoch, before the changes are reported.
     * @param listener - Receives the epoch.
     */
    addEpochListener(listener: EpochListener): void {
        this.#epochListeners.push(listener);
    }

    /**
     * Applies all events of the store since a revision of the known epoch that is not after the known one.
     * @param events - The events in the order of their revisions.
     * @param revision - The revision up to which they are complete.
     */
    applyEvents(events: readonly ReplicaEvent[], revision: number): void {
        const applied = events.filter(event => this.#isNew(event) && this.#applyEvent(event));
        this.#addChanges(applied, revision);
        this.#report(applied);
    }

    /**
     * Applies the newest change of each key since a revision of the known epoch, as another host's replica has found them. All of them are
     * changes for further hosts, which may know values in between.
     * @param changes - The changes.
     * @param revision - The revision up to which they are complete.
     * @param gaps - Revision ranges in which changes that were undone may be missing.
     */
    applyChanges(changes: readonly ReplicaEvent[], revision: number, gaps: readonly RevisionGap[]): void {
        this.#gaps.push(...gaps.filter(gap => gap.to > this.#revision));
        const applied = changes.filter(event => this.#isNew(event) && this.#isNewer(event));
        applied.forEach(event => this.#applyEvent(event));
        this.#addChanges(applied, revision);
        this.#report(applied);
    }

    /**
     * Applies a snapshot; items that it does not hold are removed. A snapshot of an earlier epoch is ignored.
     * @param parts - The parts of the snapshot, one for each key prefix.
     * @param epoch - The store's epoch at the snapshot; the known one if left out.
     */
    applySnapshot(parts: readonly SnapshotPart[], epoch = this.#epoch): void {
        if (this.#revision > 0 && epoch !== this.#epoch) {
            if (epoch > this.#epoch) {
                this.#applyEpoch(epoch, parts);
            }
            return;
        }
        this.#epoch = epoch;
        const applied = parts.flatMap(part => [
            ...part.items.filter(item =>
                (part.revision >= this.#revision || this.#isNew(item)) && this.#applyEvent(item)
            ),
            ...this.#findRemoved(part).filter(event => this.#applyEvent(event)),
        ]);
        const revision = Math.min(...parts.map(part => part.revision));
        if (this.#revision === 0) {
            this.#changesStart = revision;
        }
        else if (revision > this.#revision) {
            this.#gaps.push({ from: this.#revision, to: revision });
        }
        this.#addChanges(applied, revision);
        this.#report(applied);
    }

    /** Replaces all items by those of a new epoch, whatever their revisions. */
    #applyEpoch(epoch: number, parts: readonly SnapshotPart[]): void {
        const before = new Map(this.#events);
        this.#events.clear();
        this.#removedKeys.clear();
        this.#epoch = epoch;
        this.#revision = Math.min(...parts.map(part => part.revision));
        this.#changes.clear();
        this.#changesStart = this.#revision;
        this.#gaps = [];
        this.#epochListeners.forEach(listener => listener(epoch));
        const items = parts.flatMap(part => part.items);
        items.forEach(item => this.#events.set(item.key, item));
        const removed = [...before.values()].filter(({ key, value }) => value !== undefined && !this.#events.has(key))
            .map(({ key }) => ({ key, revision: this.#revision }));
        const changed = items.filter(({ key, value }) => before.get(key)?.value !== value);
        this.#report([...changed, ...removed]);
    }

    #findRemoved(part: SnapshotPart): readonly ReplicaEvent[] {
        const keys = new Set(part.items.map(item => item.key));
        return [...this.#events.values()].filter(event =>
            event.value !== undefined && event.key.startsWith(part.prefix) && !keys.has(event.key) &&
            event.revision <= part.revision
        ).map(event => ({ key: event.key, revision: part.revision }));
    }

    /** Whether an event can be new. If its key is unknown but its revision is not after the known one, the item has been removed since. */
    #isNew(event: ReplicaEvent): boolean {
        return this.#events.has(event.key) || event.revision > this.#revision;
    }

    #isNewer({ key, revision }: ReplicaEvent): boolean {
        const known = this.#events.get(key);
        return known === undefined || known.revision < revision;
    }

    /** Keeps an event unless a newer one of its key is known; returns whether it is a change that is not minor. */
    #applyEvent(event: ReplicaEvent): boolean {
        if (!this.#isNewer(event)) {
            return false;
        }
        const known = this.#events.get(event.key);
        this.#events.set(event.key, event);
        if (event.value === undefined) {
            this.#removedKeys.add(event.key);
        }
        if (known === undefined || known.value === undefined || event.value === undefined) {
            return known?.value !== event.value;
        }
        return !this.#isMinorChange(event.key, known.value, event.value);
    }

    #addChanges(events: readonly ReplicaEvent[], revision: number): void {
        events.forEach(event => {
            this.#changes.delete(event.key);
            this.#changes.set(event.key, event);
        });
        const droppedChanges = [...this.#changes.values()].slice(0, Math.max(0, this.#changes.size - MAX_CHANGES));
        droppedChanges.forEach(({ key }) => this.#changes.delete(key));
        const droppedGaps = this.#gaps.slice(0, Math.max(0, this.#gaps.length - MAX_GAPS));
        this.#changesStart = Math.max(
            this.#changesStart,
            ...droppedChanges.map(event => event.revision),
            ...droppedGaps.map(gap => gap.to),
        );
        this.#revision = Math.max(this.#revision, revision);
        this.#removeOldRemovals();
        this.#gaps = this.#gaps.filter(gap => gap.to > this.#changesStart);
    }

    /** Drops removals up to the known revision: an older event of an unknown key is not new, so nothing can restore the key. */
    #removeOldRemovals(): void {
        for (const key of this.#removedKeys) {
            const event = this.#events.get(key);
            if (event?.value !== undefined) {
                this.#removedKeys.delete(key);
            }
            else if (event === undefined || event.revision <= this.#revision) {
                this.#removedKeys.delete(key);
                this.#events.delete(key);
            }
        }
    }

    #findChangesAfter(revision: number): readonly ReplicaEvent[] {
        return [...this.#changes.values()].filter(event => event.revision > revision);
    }

    #report(events: readonly ReplicaEvent[]): void {
        if (events.length > 0) {
            this.#listeners.forEach(listener => listener(events));
        }
    }
}
