import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSnapshot } from "../../src/replica/createSnapshot.js";
import { Replica } from "../../src/replica/index.js";
import type { ReplicaEvent } from "../../src/replica/index.js";

const SEED = 6;
const RUNS = 2_000;
const KEYS = 3;
const WATCHERS = 2;
const REPLICAS = 5;

enum StepKind {
    Write = "write",
    Remove = "remove",
    Watch = "watch",
    Pull = "pull",
    /** A pull whose answer arrives with the next such step. */
    LatePull = "late-pull",
}

interface Step {
    readonly kind: StepKind;
    readonly key: string;
    /** The part of a value whose change is not minor. */
    readonly major: number;
    readonly from: number;
    readonly to: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom(...Object.values(StepKind)),
    key: fc.integer({ min: 0, max: KEYS - 1 }).map(number => `k${number}`),
    major: fc.integer({ min: 0, max: 1 }),
    from: fc.nat({ max: REPLICAS - 1 }),
    to: fc.nat({ max: REPLICAS - 1 }),
});

// Guards against hosts that miss a change as only the newest one of each key is kept (beside review/6).
test("replicas that watch the store or pull from each other in any order end with the store's items", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 40 }), steps => {
            const run = new ReplicaRun();
            steps.forEach(step => run.runStep(step));
            run.runToEnd();
            run.check();
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

test.run();

/** A store, replicas that watch it, and replicas that pull from any other one. */
class ReplicaRun {
    readonly #replicas = Array.from(
        { length: REPLICAS },
        () => new Replica((_, previous, next) => previous[0] === next[0]),
    );
    readonly #history: ReplicaEvent[] = [];
    readonly #items = new Map<string, string>();
    #revision = 1;
    #latePull = (): void => {};

    constructor() {
        this.#replicas.forEach(replica => replica.applySnapshot([{ prefix: "", revision: 1, items: [] }]));
    }

    runStep({ kind, key, major, from, to }: Step): void {
        switch (kind) {
            case StepKind.Write:
                this.#write(key, `${major}-${this.#revision}`);
                break;
            case StepKind.Remove:
                if (this.#items.has(key)) {
                    this.#remove(key);
                }
                break;
            case StepKind.Watch:
                this.#watch(this.#replicas[to % WATCHERS]!);
                break;
            case StepKind.Pull:
                this.#createPull(this.#replicas[from]!, this.#replicas[to]!)();
                break;
            case StepKind.LatePull:
                this.#latePull();
                this.#latePull = this.#createPull(this.#replicas[from]!, this.#replicas[to]!);
                break;
        }
    }

    /** Lets the watchers read the rest of the history, and each other replica pull from the one before it. */
    runToEnd(): void {
        this.#latePull();
        this.#replicas.slice(0, WATCHERS).forEach(replica => this.#watch(replica));
        for (let index = WATCHERS; index < REPLICAS; index++) {
            this.#createPull(this.#replicas[index - 1]!, this.#replicas[index]!)();
        }
    }

    check(): void {
        const expected = [...this.#items].map(([key, value]) => [key, value[0]]).sort();
        for (const [index, replica] of this.#replicas.entries()) {
            const found = replica.getEvents().filter(({ value }) => value !== undefined).map((
                { key, value },
            ) => [key, value![0]]).sort();
            assert.equal(found, expected, `replica ${index}`);
        }
    }

    #write(key: string, value: string): void {
        this.#items.set(key, value);
        this.#history.push({ key, revision: ++this.#revision, value });
    }

    #remove(key: string): void {
        this.#items.delete(key);
        this.#history.push({ key, revision: ++this.#revision });
    }

    #watch(replica: Replica): void {
        const revision = replica.getRevision();
        replica.applyEvents(this.#history.filter(event => event.revision > revision), this.#revision);
    }

    /** Sends a pull; the returned function applies its answer. */
    #createPull(source: Replica, replica: Replica): () => void {
        const since = replica.getRevision();
        const changes = source.findChanges(since);
        const revision = source.getRevision();
        if (changes === undefined) {
            const snapshot = createSnapshot(source);
            return () => replica.applySnapshot(snapshot);
        }
        const gaps = source.findGaps(since);
        return () => replica.applyChanges(changes, revision, gaps);
    }
}
