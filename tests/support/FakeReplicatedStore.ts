import { StoreUnavailableError } from "../../src/errors/index.js";
import type { FakeClock, FakeLink } from "../../src/fakes/index.js";
import { WatchResultKind } from "../../src/replica/index.js";
import type { ReplicaEvent, ReplicaSnapshot, ReplicatedStore, WatchResult } from "../../src/replica/index.js";

const CALL_MS = 4;
/** Time until a call without an answer fails, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
const POLL_MS = 10;
/** Length of a value's base64 text by the length of the value; answers carry values as base64. */
const BASE64_FACTOR = 4 / 3;

interface StoreCopy {
    readonly items: ReadonlyMap<string, ReplicaEvent>;
    readonly history: readonly ReplicaEvent[];
    readonly revision: number;
}

/** A replicated store in memory that can refuse the calls of some hosts or leave them unanswered. */
export class FakeReplicatedStore {
    /** Calls of all hosts so far. */
    calls = 0;
    /** Whether all calls are refused. */
    isAway = false;
    /** Whether watches return no events. */
    losesWatchEvents = false;
    /** Hosts whose calls are refused. */
    readonly refused = new Set<string>();
    /** Hosts whose calls get no answer. */
    readonly unanswered = new Set<string>();
    readonly #clock: FakeClock;
    readonly #items = new Map<string, ReplicaEvent>();
    #history: ReplicaEvent[] = [];
    #historyStart = 0;
    #revision = 1;
    #epoch = 1;

    /** @param clock - The source of time. */
    constructor(clock: FakeClock) {
        this.#clock = clock;
    }

    /**
     * Writes an item.
     * @param key - Its key.
     * @param value - Its value.
     */
    write(key: string, value: string): void {
        this.#add({ key, revision: ++this.#revision, value });
    }

    /**
     * Removes an item.
     * @param key - Its key.
     */
    remove(key: string): void {
        this.#add({ key, revision: ++this.#revision });
    }

    /** Removes the history of changes; a watch from an earlier revision then reports lost history. */
    removeHistory(): void {
        this.#history = [];
        this.#historyStart = this.#revision;
    }

    /** Creates a copy from which the store can return later. */
    createCopy(): StoreCopy {
        return { items: new Map(this.#items), history: [...this.#history], revision: this.#revision };
    }

    /**
     * Returns from a copy: what was written since is lost, and revisions are given out again.
     * @param copy - The copy.
     */
    restoreCopy({ items, history, revision }: StoreCopy): void {
        this.#items.clear();
        items.forEach((item, key) => this.#items.set(key, item));
        this.#history = [...history];
        this.#revision = revision;
        this.#epoch++;
    }

    /**
     * Creates the interface of one host to the store.
     * @param hostId - The host.
     * @param link - The host's downlink that answers pass over.
     */
    createHostStore(hostId: string, link?: FakeLink): ReplicatedStore {
        return {
            readAll: () => this.#run(hostId, () => this.#read(), link),
            watch: (revision, waitMs) => this.#run(hostId, () => this.#watch(revision, waitMs), link),
        };
    }

    async #run<T>(hostId: string, call: () => Promise<T>, link: FakeLink | undefined): Promise<T> {
        this.calls++;
        await this.#clock.wait(CALL_MS);
        if (this.unanswered.has(hostId)) {
            await this.#clock.wait(CALL_TIMEOUT_MS);
            throw new StoreUnavailableError("no answer");
        }
        if (this.isAway || this.refused.has(hostId)) {
            throw new StoreUnavailableError("refused");
        }
        const result = await call();
        if (this.isAway || this.refused.has(hostId) || this.unanswered.has(hostId)) {
            throw new StoreUnavailableError("cut");
        }
        await link?.send(Math.ceil(JSON.stringify(result).length * BASE64_FACTOR));
        return result;
    }

    async #read(): Promise<ReplicaSnapshot> {
        const items = [...this.#items.values()];
        return { epoch: this.#epoch, parts: [{ prefix: "", revision: this.#revision, items }] };
    }

    async #watch(revision: number, waitMs: number): Promise<WatchResult> {
        const end = this.#clock.getTime() + waitMs;
        while (revision >= this.#historyStart && revision <= this.#revision) {
            const events = this.losesWatchEvents ? [] : this.#history.filter(event => event.revision > revision);
            if (events.length > 0 || this.#clock.getTime() >= end) {
                const known = this.losesWatchEvents ? revision : this.#revision;
                return { kind: WatchResultKind.Events, epoch: this.#epoch, revision: known, events };
            }
            await this.#clock.wait(POLL_MS);
        }
        return { kind: WatchResultKind.HistoryLost };
    }

    #add(event: ReplicaEvent): void {
        this.#history.push(event);
        if (event.value === undefined) {
            this.#items.delete(event.key);
        }
        else {
            this.#items.set(event.key, event);
        }
    }
}
