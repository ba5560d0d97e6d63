import { StoreUnavailableError } from "../../src/errors/index.js";
import type { FakeClock, FakeLink } from "../../src/fakes/index.js";
import { WatchResultKind } from "../../src/replica/index.js";
import type { ReplicaEvent, ReplicatedStore, SnapshotPart, WatchResult } from "../../src/replica/index.js";

const CALL_MS = 4;
const SILENCE_MS = 1_500;
const STEP_MS = 10;
/** Values travel as base64. */
const ENCODED_SHARE = 4 / 3;

/** A store in memory whose answers can be refused or held back for some hosts. */
export class FakeReplicaSource {
    /** Calls of all hosts so far. */
    calls = 0;
    isAway = false;
    /** Whether waits for changes hear nothing. */
    isDeaf = false;
    /** Hosts that are answered with an error. */
    readonly refused = new Set<string>();
    /** Hosts that get no answer. */
    readonly silenced = new Set<string>();
    readonly #clock: FakeClock;
    readonly #items = new Map<string, ReplicaEvent>();
    #history: ReplicaEvent[] = [];
    #historyStart = 0;
    #revision = 1;

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

    /** Removes the changes so far, so that they can't be watched any more. */
    removeHistory(): void {
        this.#history = [];
        this.#historyStart = this.#revision;
    }

    /**
     * Creates the source as one host sees it.
     * @param hostId - The host.
     * @param link - What the answers pass over.
     */
    createSource(hostId: string, link?: FakeLink): ReplicatedStore {
        return {
            readAll: () => this.#run(hostId, () => this.#read(), link),
            watch: (revision, waitMs) => this.#run(hostId, () => this.#watch(revision, waitMs), link),
        };
    }

    async #run<T>(hostId: string, call: () => Promise<T>, link: FakeLink | undefined): Promise<T> {
        this.calls++;
        await this.#clock.wait(CALL_MS);
        if (this.silenced.has(hostId)) {
            await this.#clock.wait(SILENCE_MS);
            throw new StoreUnavailableError("no answer");
        }
        if (this.isAway || this.refused.has(hostId)) {
            throw new StoreUnavailableError("refused");
        }
        const result = await call();
        if (this.isAway || this.refused.has(hostId) || this.silenced.has(hostId)) {
            throw new StoreUnavailableError("cut");
        }
        await link?.send(Math.ceil(JSON.stringify(result).length * ENCODED_SHARE));
        return result;
    }

    async #read(): Promise<readonly SnapshotPart[]> {
        return [{ prefix: "", revision: this.#revision, items: [...this.#items.values()] }];
    }

    async #watch(revision: number, waitMs: number): Promise<WatchResult> {
        const end = this.#clock.getTime() + waitMs;
        while (revision >= this.#historyStart) {
            const events = this.isDeaf ? [] : this.#history.filter(event => event.revision > revision);
            if (events.length > 0 || this.#clock.getTime() >= end) {
                const known = this.isDeaf ? revision : this.#revision;
                return { kind: WatchResultKind.Events, revision: known, events };
            }
            await this.#clock.wait(STEP_MS);
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
