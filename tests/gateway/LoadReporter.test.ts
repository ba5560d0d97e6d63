import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { LoadReporter } from "../../src/gateway/index.js";
import { Decision, DecisionHistory } from "../../src/logging/index.js";
import type { DecisionRecord } from "../../src/logging/index.js";
import { PeerMethod, PeerTraffic } from "../../src/peers/index.js";

const test = suite("LoadReporter");

test("a log line has the maximum copy age, the stalls and the peer calls since the previous one", async () => {
    const clock = new FakeClock();
    const lines: DecisionRecord[] = [];
    const decisions = new DecisionHistory(clock, record => lines.push(record));
    const traffic = new PeerTraffic({ ownZone: "a", findZone: () => "b" });
    let copyAgeMs = 40;
    let stalledMs = 0;
    const getCopyAge = (): number => copyAgeMs;
    const getStalledTime = (): number => stalledMs;
    const reporter = new LoadReporter({ clock, decisions, memberId: "host-1", traffic, getCopyAge, getStalledTime });
    await reporter.start();
    await clock.run(1_000);
    copyAgeMs = 2_600;
    stalledMs = 70;
    traffic.recordCall("10.0.0.2:1", PeerMethod.SpendToken, 3_000);
    traffic.recordEnd(800, false);
    traffic.recordAnswer("a", 90_000);
    await clock.run(1_000);
    copyAgeMs = 100;
    await clock.run(9_000);
    await reporter.stop();
    assert.ok(lines.every(line => line.decision === Decision.LoadReported));
    assert.equal(lines.map(line => line.figures), [
        {
            copyAgeMs: 100,
            maxCopyAgeMs: 2_600,
            stalledMs: 70,
            peerCalls: 1,
            peerFailures: 1,
            peerKb: 3,
            slowestPeerMs: 800,
            answeredKb: 90,
            tokensOtherZoneKb: 3,
            answersOwnZoneKb: 90,
        },
        {
            copyAgeMs: 100,
            maxCopyAgeMs: 100,
            stalledMs: 0,
            peerCalls: 0,
            peerFailures: 0,
            peerKb: 0,
            slowestPeerMs: 0,
            answeredKb: 0,
        },
    ]);
});

test.run();
