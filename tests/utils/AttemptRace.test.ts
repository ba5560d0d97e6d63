import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { AttemptRace } from "../../src/utils/index.js";

interface Attempt {
    readonly startMs: number;
    readonly durationMs: number;
    readonly isGood: boolean;
}

interface RaceRun {
    /** Index of the attempt whose result the race has. */
    readonly winner: number;
    /** Indexes of the attempts whose results were closed. */
    readonly closed: readonly number[];
    /** Indexes of the attempts that were cancelled while they ran. */
    readonly cancelled: readonly number[];
}

const END_MS = 10_000;
const GOOD_FIRST: Attempt = { startMs: 0, durationMs: 1_000, isGood: true };
const attempts: fc.Arbitrary<Attempt> = fc.record({
    startMs: fc.nat(900),
    durationMs: fc.integer({ min: 1, max: 1_000 }),
    isGood: fc.boolean(),
});

test("the first good result wins, and only then are the attempts that still run cancelled and closed", async () => {
    const property = fc.asyncProperty(fc.array(attempts, { maxLength: 5 }), async others => {
        const started = [GOOD_FIRST, ...others];
        const { winner, closed, cancelled } = await runRace(started);
        const ends = started.map(({ startMs, durationMs }) => startMs + durationMs);
        const end = Math.min(...ends.filter((_, index) => started[index]!.isGood));
        assert.is(ends[winner], end);
        const late = started.flatMap(({ startMs }, index) => startMs < end && ends[index]! > end ? [index] : []);
        assert.ok(late.every(index => cancelled.includes(index) && closed.includes(index)));
        assert.ok(cancelled.every(index => ends[index]! >= end));
    });
    await fc.assert(property, { seed: 46, numRuns: 200 });
});

test("a race without a good result ends with its last attempt and has the merged result", async () => {
    const { winner, cancelled } = await runRace([
        { startMs: 0, durationMs: 300, isGood: false },
        { startMs: 100, durationMs: 100, isGood: false },
    ]);
    assert.is(winner, 1);
    assert.equal(cancelled, []);
});

/** The unread body of a failed attempt held its slot and connection. */
test("the result of a failed attempt is closed when another one wins", async () => {
    const { winner, closed } = await runRace([
        { startMs: 0, durationMs: 100, isGood: false },
        { startMs: 50, durationMs: 200, isGood: true },
    ]);
    assert.is(winner, 1);
    assert.equal(closed, [0]);
});

test("no attempt is started after the end", async () => {
    const race = new AttemptRace<number>(() => true, earlier => earlier, () => {});
    void race.add(async () => 1);
    assert.is(await race.wait(), 1);
    let isStarted = false;
    void race.add(async () => {
        isStarted = true;
        return 2;
    });
    assert.not.ok(isStarted);
});

test.run();

/** Runs attempts as a race; of results that aren't good, it keeps that of the attempt with the higher index. */
async function runRace(started: readonly Attempt[]): Promise<RaceRun> {
    const clock = new FakeClock();
    const closed: number[] = [];
    const cancelled: number[] = [];
    const race = new AttemptRace<number>(
        index => started[index]!.isGood,
        (earlier, later) => Math.max(earlier, later),
        index => closed.push(index),
    );
    for (const [index, { startMs, durationMs }] of started.entries()) {
        const add = (): void =>
            void race.add(async signal => {
                signal.addEventListener("abort", () => cancelled.push(index));
                await clock.wait(durationMs);
                return index;
            });
        if (startMs === 0) {
            add();
        }
        else {
            clock.schedule(startMs, add);
        }
    }
    const winner = race.wait();
    await clock.run(END_MS);
    return { winner: await winner, closed, cancelled };
}
