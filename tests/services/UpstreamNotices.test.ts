import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Upstream } from "../../src/configuration/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { UpstreamNotices } from "../../src/services/index.js";
import type { UpstreamNoticeReport } from "../../src/services/index.js";

const UPSTREAM = createUpstream("u0");

test("the newest notice of an upstream counts, whoever heard it", async () => {
    const clock = new FakeClock();
    const own = new UpstreamNotices(clock);
    const other = new UpstreamNotices(clock);
    assert.is(own.recordRequestRate(UPSTREAM, 2), true);
    assert.is(own.recordRequestRate(UPSTREAM, 2), false);
    other.recordReports(encodeAndDecode(own.getReports([UPSTREAM])));
    assert.is(other.getRequestRate(UPSTREAM), 2);
    await clock.run(100);
    other.recordRequestRate(UPSTREAM, 5);
    other.recordReports(encodeAndDecode(own.getReports([UPSTREAM])));
    assert.is(other.getRequestRate(UPSTREAM), 5);
    own.recordReports(encodeAndDecode(other.getReports([UPSTREAM])));
    assert.is(own.getRequestRate(UPSTREAM), 5);
    await clock.run(100);
    assert.is(own.recordRequestRate(UPSTREAM, Infinity), true);
    other.recordReports(encodeAndDecode(own.getReports([UPSTREAM])));
    assert.is(other.getRequestRate(UPSTREAM), Infinity);
});

test("nothing is kept or told of an upstream that names no limit, nor of another incarnation", () => {
    const notices = new UpstreamNotices(new FakeClock());
    assert.is(notices.recordRequestRate(UPSTREAM, Infinity), false);
    assert.equal(notices.getReports([UPSTREAM]), []);
    notices.recordRequestRate(UPSTREAM, 1);
    const restarted = { ...UPSTREAM, incarnation: "2" };
    assert.is(notices.getRequestRate(restarted), Infinity);
    assert.equal(notices.getReports([restarted, createUpstream("u1")]), []);
});

test("a thousand upstreams are kept, those heard of last, of which the newest are told", () => {
    const notices = new UpstreamNotices(new FakeClock());
    const upstreams = Array.from({ length: 1_001 }, (_, index) => createUpstream(`u${index}`));
    upstreams.slice(0, 1_000).forEach(upstream => notices.recordRequestRate(upstream, 1));
    notices.recordRequestRate(upstreams[0]!, 1);
    notices.recordRequestRate(upstreams[1_000]!, 1);
    assert.is(upstreams.filter(upstream => notices.getRequestRate(upstream) === 1).length, 1_000);
    assert.is(notices.getReports(upstreams).length, 24);
    assert.is(notices.getRequestRate(upstreams[0]!), 1);
    assert.is(notices.getRequestRate(upstreams[1]!), Infinity);
});

test.run();

function createUpstream(name: string): Upstream {
    return { name, address: `${name}:1`, zone: "a", slots: 6, connections: 300, incarnation: "1" };
}

function encodeAndDecode(reports: readonly UpstreamNoticeReport[]): readonly UpstreamNoticeReport[] {
    return JSON.parse(JSON.stringify(reports)) as readonly UpstreamNoticeReport[];
}
