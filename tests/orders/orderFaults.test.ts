import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { OrderFaultRun } from "../support/OrderFaultRun.js";

/** Times of a fault after the order's arrival, in milliseconds; the order is answered within this range. */
const FAULT_TIMES_MS = [0, 1, 2, 3, 4, 6, 8, 9, 10, 12, 300];

const PAIR_RUNS = 200;

const FAULTS: Record<string, (trial: OrderFaultRun) => void> = {
    "no fault": () => {},
    "key host killed": trial => trial.stopHost(trial.firstHost),
    "service host killed": trial => trial.stopHost(trial.serviceHost),
    "key host replaced": trial => trial.startReplacement(trial.firstHost),
    "service host replaced": trial => trial.startReplacement(trial.serviceHost),
    "key host frozen": trial => trial.stopProcess(trial.firstHost),
    "service host frozen": trial => trial.stopProcess(trial.serviceHost),
    "cut to the service host": trial => closeDirection(trial, trial.firstHost, trial.serviceHost),
    "cut from the service host": trial => closeDirection(trial, trial.serviceHost, trial.firstHost),
    "store away": trial => {
        trial.fleet.store.faults.isAway = true;
    },
    "store loses answers": trial => {
        trial.fleet.store.faults.losesWriteAnswers = true;
    },
    "key host stopped as planned": trial => stopAsPlanned(trial, trial.firstHost),
    "key host stopped as planned while its successor is cut off": trial => {
        trial.fleet.hosts.forEach((_, index) => closeDirection(trial, index, trial.firstHost));
        stopAsPlanned(trial, trial.firstHost);
    },
};

for (const isPrefixed of [true, false]) {
    const kind = isPrefixed ? "prefixed" : "plain";
    test(`an order with a ${kind} key runs at most once, and "not run" is correct, under each fault at each time`, async () => {
        const lines: string[] = [];
        for (const [name, fault] of Object.entries(FAULTS)) {
            const counts = new Map<string, number>();
            for (const faultMs of FAULT_TIMES_MS) {
                const answer = await runTrials(isPrefixed, name, fault, faultMs);
                counts.set(answer, (counts.get(answer) ?? 0) + 1);
            }
            const entries = [...counts].sort().map(([answer, count]) => `${count} ${answer}`);
            lines.push(`${name}: ${entries.join(", ")}`);
        }
        checkSnapshot(`orders/faults-${kind}`, lines.join("\n") + "\n");
    });
}

test("two faults at any times cause no second run and no incorrect \"not run\"", async () => {
    const names = fc.constantFrom(...Object.keys(FAULTS));
    const fault = fc.record({ name: names, timeMs: fc.constantFrom(...FAULT_TIMES_MS, 50, 2_500, 3_001, 6_001) });
    const property = fc.asyncProperty(fault, fault, fc.boolean(), fc.boolean(), async (first, second, ...kinds) => {
        const [isPrefixed, stopsAtNotRun] = kinds;
        const trial = new OrderFaultRun();
        await trial.start(isPrefixed);
        trial.fleet.clock.schedule(second.timeMs, () => FAULTS[second.name]!(trial));
        await trial.run(first.timeMs, FAULTS[first.name]!, stopsAtNotRun);
        checkTrial(trial, stopsAtNotRun, "two faults");
    });
    await fc.assert(property, { numRuns: Number(process.env.PAIR_RUNS ?? PAIR_RUNS), seed: 11 });
});

test.run();

/** Returns the last answer to a caller that keeps resending the order. */
async function runTrials(
    isPrefixed: boolean,
    name: string,
    fault: (trial: OrderFaultRun) => void,
    faultMs: number,
): Promise<string> {
    const context = `${name} after ${faultMs} ms`;
    for (const stopsAtNotRun of [true, false]) {
        const trial = new OrderFaultRun();
        await trial.start(isPrefixed);
        await trial.run(faultMs, fault, stopsAtNotRun);
        checkTrial(trial, stopsAtNotRun, context);
        if (!stopsAtNotRun) {
            return trial.answers.at(-1)?.kind ?? "no answer";
        }
    }
    return "no answer";
}

function checkTrial(trial: OrderFaultRun, stopsAtNotRun: boolean, context: string): void {
    assert.ok(trial.getRuns() <= 1, `${context}: ${trial.getRuns()} runs`);
    const notRun = trial.answers.filter(answer => answer.kind.startsWith("not-run"));
    assert.ok(notRun.every(answer => answer.runs === 0), `${context}: "not run" after a run`);
    assert.ok(!stopsAtNotRun || notRun.length === 0 || trial.getRuns() === 0, `${context}: ran after "not run"`);
}

function stopAsPlanned(trial: OrderFaultRun, index: number): void {
    const { host } = trial.fleet.hosts[index]!;
    void host.drain().then(() => host.waitForIdle()).then(() => trial.stopHost(index));
}

function closeDirection(trial: OrderFaultRun, from: number, to: number): void {
    const { hosts, network } = trial.fleet;
    network.closeDirection(hosts[from]!.member.peerAddress, hosts[to]!.member.peerAddress);
}
