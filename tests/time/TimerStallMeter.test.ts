import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Upstream } from "../../src/configuration/index.js";
import { FakeClock, FakeHostClock } from "../../src/fakes/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { AttemptRunner } from "../../src/services/exchange/AttemptRunner.js";
import { FirstByteLimit } from "../../src/services/exchange/FirstByteLimit.js";
import { UpstreamAnswerKind } from "../../src/services/index.js";
import type { ServiceRequest, UpstreamTransport } from "../../src/services/index.js";
import { TimerStallMeter } from "../../src/time/index.js";

const PAUSE_MS = 1000;
const SERVICE_MS = 20;
/** The meter's tick plus its tolerance; a shorter pause may not be detected. */
const RESOLUTION_MS = 22;

test("counts a pause as stalled time, but not time in which timers run on schedule", async () => {
    const { clock, hostClock, meter } = createMeter();
    await clock.run(PAUSE_MS);
    assert.is(meter.getStalledTime(), 0);
    await runPause(clock, hostClock);
    await clock.run(PAUSE_MS);
    assert.ok(meter.getStalledTime() >= PAUSE_MS - RESOLUTION_MS && meter.getStalledTime() <= PAUSE_MS);
});

test("the time in which a service host was paused is not part of an upstream's latency", async () => {
    const { clock, hostClock, meter } = createMeter();
    const transport: UpstreamTransport = {
        send: async () => {
            await hostClock.wait(SERVICE_MS);
            return { kind: UpstreamAnswerKind.Answered, status: 200, headers: {}, body: Readable.from([]) };
        },
        closeIdle: () => {},
    };
    const runner = new AttemptRunner({
        clock: hostClock,
        transport,
        decisions: new DecisionHistory(hostClock),
        stallMeter: meter,
    });
    const signal = new AbortController().signal;
    const attempt = runner.run(
        createUpstream(),
        createRequest(),
        PAUSE_MS * 10,
        new FirstByteLimit(),
        () => true,
        signal,
        () => {},
    );
    await clock.run(SERVICE_MS / 2);
    await runPause(clock, hostClock);
    await clock.run(SERVICE_MS);
    const { latencyMs } = await attempt;
    assert.ok(latencyMs <= SERVICE_MS + RESOLUTION_MS, `the latency is ${latencyMs} ms`);
});

test.run();

function createMeter(): { clock: FakeClock; hostClock: FakeHostClock; meter: TimerStallMeter; } {
    const clock = new FakeClock();
    const hostClock = new FakeHostClock(clock);
    const meter = new TimerStallMeter(hostClock);
    meter.start();
    return { clock, hostClock, meter };
}

async function runPause(clock: FakeClock, hostClock: FakeHostClock): Promise<void> {
    hostClock.stop();
    await clock.run(PAUSE_MS);
    hostClock.start();
}

function createUpstream(): Upstream {
    return { name: "u", address: "127.0.0.1:1", zone: "a", slots: 1, connections: 1 };
}

function createRequest(): ServiceRequest {
    return {
        requestId: "r",
        account: "a",
        service: "s",
        zone: "a",
        method: "GET",
        path: "/",
        headers: {},
        body: Buffer.alloc(0),
        isIdempotent: true,
        timeoutMs: PAUSE_MS,
        sentBefore: 0,
        excludedUpstreams: [],
    };
}
