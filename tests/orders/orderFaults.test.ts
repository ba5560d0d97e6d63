import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { OrderTrial } from "../support/OrderTrial.js";

/** From the arrival of the order to its answer, in milliseconds. */
const STEPS_MS = [0, 1, 2, 3, 4, 6, 8, 9, 10, 12, 300];

const PAIR_RUNS = 200;

const FAULTS: Record<string, (trial: OrderTrial) => void> = {
    "no fault": () => {},
    "key host killed": trial => trial.stopHost(trial.keyHost),
    "service host killed": trial => trial.stopHost(trial.serviceHost),
    "key host replaced": trial => trial.startHostAnew(trial.keyHost),
    "service host replaced": trial => trial.startHostAnew(trial.serviceHost),
    "key host frozen": trial => trial.stopProcess(trial.keyHost),
    "service host frozen": trial => trial.stopProcess(trial.serviceHost),
    "cut to the service host": trial => closeDirection(trial, trial.keyHost, trial.serviceHost),
    "cut from the service host": trial => closeDirection(trial, trial.serviceHost, trial.keyHost),
    "store away": trial => {
        trial.fleet.store.faults.isAway = true;
    },
    "store loses answers": trial => {
        trial.fleet.store.faults.losesWriteAnswers = true;
    },
    "key host stopped as planned": trial => stopAsPlanned(trial, trial.keyHost),
    "key host stopped as planned while its successor is cut off": trial => {
        trial.fleet.hosts.forEach((_, index) => closeDirection(trial, index, trial.keyHost));
        stopAsPlanned(trial, trial.keyHost);
    },
};

for (const isPrefixed of [true, false]) {
    const kind = isPrefixed ? "prefixed" : "plain";
    test(`an order with a ${kind} key runs at most once, and "not run" is true, under each fault at each step`, async () => {
        const lines: string[] = [];
        for (const [name, fault] of Object.entries(FAULTS)) {
            const counts = new Map<string, number>();
            for (const faultMs of STEPS_MS) {
                const answer = await runTrials(isPrefixed, name, fault, faultMs);
                counts.set(answer, (counts.get(answer) ?? 0) + 1);
            }
            const entries = [...counts].sort().map(([answer, count]) => `${count} ${answer}`);
            lines.push(`${name}: ${entries.join(", ")}`);
        }
        checkSnapshot(`orders/faults-${kind}`, lines.join("\n") + "\n");
    });
}

test("two faults at any steps cause no second run and no false \"not run\"", async () => {
    const names = fc.constantFrom(...Object.keys(FAULTS));
    const fault = fc.record({ name: names, timeMs: fc.constantFrom(...STEPS_MS, 50, 2_500, 3_001, 6_001) });
    const property = fc.asyncProperty(fault, fault, fc.boolean(), fc.boolean(), async (first, second, ...kinds) => {
        const [isPrefixed, stopsAtNotRun] = kinds;
        const trial = new OrderTrial();
        await trial.start(isPrefixed);
        trial.fleet.clock.schedule(second.timeMs, () => FAULTS[second.name]!(trial));
        await trial.run(first.timeMs, FAULTS[first.name]!, stopsAtNotRun);
        checkTrial(trial, stopsAtNotRun, "two faults");
    });
    await fc.assert(property, { numRuns: Number(process.env.PAIR_RUNS ?? PAIR_RUNS), seed: 11 });
});

test.run();

/** Returns the last answer that a caller got who keeps asking. */
async function runTrials(
    isPrefixed: boolean,
    name: string,
    fault: (trial: OrderTrial) => void,
    faultMs: number,
): Promise<string> {
    const context = `${name} after ${faultMs} ms`;
    for (const stopsAtNotRun of [true, false]) {
        const trial = new OrderTrial();
        await trial.start(isPrefixed);
        await trial.run(faultMs, fault, stopsAtNotRun);
        checkTrial(trial, stopsAtNotRun, context);
        if (!stopsAtNotRun) {
            return trial.answers.at(-1)?.kind ?? "no answer";
        }
    }
    return "no answer";
}

function checkTrial(trial: OrderTrial, stopsAtNotRun: boolean, context: string): void {
    assert.ok(trial.getRuns() <= 1, `${context}: ${trial.getRuns()} runs`);
    const notRun = trial.answers.filter(answer => answer.kind.startsWith("not-run"));
    assert.ok(notRun.every(answer => answer.runs === 0), `${context}: "not run" after a run`);
    assert.ok(!stopsAtNotRun || notRun.length === 0 || trial.getRuns() === 0, `${context}: ran after "not run"`);
}

function stopAsPlanned(trial: OrderTrial, index: number): void {
    const { host } = trial.fleet.hosts[index]!;
    void host.drain().then(() => host.waitForIdle()).then(() => trial.stopHost(index));
}

function closeDirection(trial: OrderTrial, from: number, to: number): void {
    const { hosts, network } = trial.fleet;
    network.closeDirection(hosts[from]!.member.peerAddress, hosts[to]!.member.peerAddress);
}
