import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock, ServiceBench } from "../../src/fakes/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { RetryBudget } from "../../src/services/index.js";
import type { ServiceAnswer, ServiceRequest } from "../../src/services/index.js";

const RATES = [14, 49, 22];
const SHED_SHARE = 0.55;
const SHARE = 0.2;
const RETRY_RATE = 6;
const WINDOW_MS = 10_000;
/** Tokens of a full bucket. */
const BURST = 10;

test("while upstreams shed 55 in 100 requests, the retries go to the urgent ones, and to all once there is plenty", async () => {
    const { granted, refused } = await runSheds(SHED_SHARE);
    const shares = granted.map((count, priority) => count / (count + refused[priority]!));
    assert.ok(shares[0]! >= 0.8, `${shares[0]} of the most urgent`);
    assert.ok(shares[0]! > 2 * shares[1]! && shares[1]! > 2 * shares[2]!, `${shares[1]} and ${shares[2]}`);
    const calm = await runSheds(0.05);
    assert.equal(calm.refused, [0, 0, 0]);
});

test("the retries of any window stay within the share of the requests, the rate and one full bucket", async () => {
    const { times } = await runSheds(SHED_SHARE);
    const most = times.reduce(
        (max, start) => Math.max(max, times.filter(time => time >= start && time < start + WINDOW_MS).length),
        0,
    );
    const requests = RATES.reduce((sum, rate) => sum + rate, 0) * WINDOW_MS / 1_000;
    assert.ok(most <= 1.1 * SHARE * requests + RETRY_RATE * WINDOW_MS / 1_000 + BURST, `${most} in a window`);
});

test("a retry that was not sent is granted again", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 1, service: { queuePerSlot: 0, retryBudget: 0 } });
    const running = bench.send();
    await bench.clock.run(1);
    for (let index = 0; index < 3 * BURST; index++) {
        const { outcome } = await bench.send({ sentBefore: 1 });
        assert.ok(outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.Overloaded);
    }
    await bench.clock.run(1_000);
    await running;
});

// Guards against more retries than the budget allows: each part that had no room granted the same request its share again.
test("a request that another part has counted adds nothing to the budget", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 5, service: { queuePerSlot: 0, retryBudget: SHARE } });
    const isRetryGranted = async (): Promise<boolean> => {
        const { outcome } = await sendAndRun(bench, { sentBefore: 1 });
        return outcome.kind === OutcomeKind.Done;
    };
    for (let index = 0; index < BURST; index++) {
        assert.ok(await isRetryGranted());
    }
    assert.not(await isRetryGranted());
    for (let index = 0; index < 50; index++) {
        await sendAndRun(bench, { isCounted: true });
    }
    assert.not(await isRetryGranted());
    for (let index = 0; index < 1 / SHARE; index++) {
        await sendAndRun(bench, {});
    }
    assert.ok(await isRetryGranted());
});

test.run();

async function sendAndRun(bench: ServiceBench, request: Partial<ServiceRequest>): Promise<ServiceAnswer> {
    const answer = bench.send(request);
    await bench.clock.run(100);
    return await answer;
}

/** Returns the granted and refused retries by priority, and the times of the granted ones. */
async function runSheds(
    shedShare: number,
): Promise<{ granted: number[]; refused: number[]; times: number[]; }> {
    const clock = new FakeClock();
    const random = new SeededRandom(1);
    const budget = new RetryBudget(clock);
    const granted = [0, 0, 0];
    const refused = [0, 0, 0];
    const times: number[] = [];
    const sendAll = async (priority: number, rate: number): Promise<void> => {
        while (clock.getTime() < 3 * WINDOW_MS) {
            await clock.wait(-Math.log(1 - random.getNext()) * 1_000 / rate);
            budget.grant(SHARE, RETRY_RATE);
            for (let isShed = random.getNext() < shedShare; isShed; isShed = random.getNext() < shedShare) {
                const isGranted = budget.spend(priority);
                (isGranted ? granted : refused)[priority]!++;
                if (!isGranted) {
                    break;
                }
                times.push(clock.getTime());
            }
        }
    };
    const loads = RATES.map((rate, priority) => sendAll(priority, rate));
    await clock.run(4 * WINDOW_MS);
    await Promise.all(loads);
    return { granted, refused, times: times.sort((left, right) => left - right) };
}
