import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { SupervisedTask, Supervisor } from "../../src/supervision/index.js";
import type { Child } from "../../src/supervision/index.js";

test("children start in order and stop in reverse order", async () => {
    const trace: string[] = [];
    const supervisor = new Supervisor("root", [createChild("a", trace), createChild("b", trace)]);
    await supervisor.start();
    await supervisor.stop();
    assert.equal(trace, ["start a", "start b", "stop b", "stop a"]);
});

test("if a child fails to start, the children started before it are stopped", async () => {
    const trace: string[] = [];
    const failing: Child = { name: "b", start: () => Promise.reject(new Error("no")), stop: () => Promise.resolve() };
    const supervisor = new Supervisor("root", [createChild("a", trace), failing]);
    let message = "";
    await supervisor.start().catch((error: Error) => message = error.message);
    assert.is(message, "no");
    assert.equal(trace, ["start a", "stop a"]);
});

test("a failed task is restarted with exponential back-off", async () => {
    const clock = new FakeClock();
    const starts: number[] = [];
    const failures: unknown[] = [];
    const run = (): Promise<void> => {
        starts.push(clock.getTime());
        return Promise.reject(new Error("broken"));
    };
    const task = new SupervisedTask({ name: "task", clock, run, reportFailure: error => failures.push(error) });
    await task.start();
    await clock.run(800);
    await task.stop();
    assert.equal(starts, [0, 100, 300, 700]);
    assert.is(failures.length, 4);
});

test.run();

function createChild(name: string, trace: string[]): Child {
    return {
        name,
        start: async () => void trace.push(`start ${name}`),
        stop: async () => void trace.push(`stop ${name}`),
    };
}
