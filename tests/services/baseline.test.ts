import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { PeerMethod } from "../../src/peers/index.js";
import type { PeerTransport } from "../../src/peers/index.js";
import type { ShareBaselineParams } from "../../src/services/index.js";

const HEALTHY = { errorRate: 0.01, slowRate: 0.01, medianMs: 20 };
const NO_REQUESTS = { requests: 0, unserved: 0 };

test("a slow upstream without siblings in its zone is ejected by the baseline of other zones", async () => {
    const bench = createSingleUpstreamBench();
    await bench.runLoad(20, 100);
    const params = { service: "orders", part: "b", upstreams: [HEALTHY, HEALTHY, HEALTHY], served: NO_REQUESTS };
    assert.equal(await bench.handlers.run(PeerMethod.ShareBaseline, params), { isUsed: true });
    await bench.runLoad(20, 3_000);
    assert.equal(bench.getStates(), ["ejected"]);
});

test("a slow upstream without siblings is not ejected without a baseline, nor by an expired one", async () => {
    const bench = createSingleUpstreamBench();
    await bench.runLoad(20, 3_000);
    await bench.handlers.run(PeerMethod.ShareBaseline, {
        service: "orders",
        part: "b",
        upstreams: [HEALTHY],
        served: NO_REQUESTS,
    });
    await bench.clock.run(31_000);
    await bench.runLoad(20, 3_000);
    assert.equal(bench.getStates(), ["healthy"]);
});

test("failures common to all zones eject no upstream", async () => {
    const bench = new ServiceBench();
    await bench.runLoad(100, 1_000);
    const failing = { errorRate: 0.4, slowRate: 0, medianMs: 20 };
    const upstreams = [failing, failing, failing, failing, failing, failing];
    await bench.handlers.run(PeerMethod.ShareBaseline, {
        service: "orders",
        part: "b",
        upstreams,
        served: NO_REQUESTS,
    });
    ["u0", "u1", "u2", "u3", "u4"].forEach(name => bench.upstreams.applyFaults(name, { errorRate: 0.4 }));
    await bench.runLoad(100, 20_000);
    assert.ok(bench.getStates().every(state => state !== "ejected" && state !== "probation"));
});

test("a service host sends the summaries of its upstreams to the service hosts of other zones", async () => {
    const sent: { address: string; params: ShareBaselineParams; }[] = [];
    const peers = {
        send: (address: string, _: PeerMethod, params: ShareBaselineParams) => {
            sent.push({ address, params });
            return Promise.reject(new Error("The peer is unreachable."));
        },
    } as unknown as PeerTransport;
    const bench = new ServiceBench({ peers });
    const [first] = bench.service.upstreams;
    const other = { ...first!, name: "v0", address: "127.0.0.1:9100", zone: "b" };
    bench.apply({ upstreams: [...bench.service.upstreams, other] });
    bench.host.start();
    await bench.runLoad(100, 4_000);
    bench.host.stop();
    assert.equal(sent.map(({ address }) => address), Array(6).fill("host-of-b"));
    assert.ok(sent.every(({ params }) => params.part === "a"));
    assert.is(sent[3]!.params.upstreams.length, 5);
    assert.ok(sent[3]!.params.served.requests > 100 && sent[3]!.params.served.unserved === 0);
});

test("a service host that does not answer delays no summary to the others", async () => {
    const times: number[] = [];
    const peers = {
        send: async (_: string, __: PeerMethod, ___: ShareBaselineParams, timeoutMs: number) => {
            times.push(bench.clock.getTime());
            await bench.clock.wait(timeoutMs);
            throw new Error("The peer does not answer.");
        },
    } as unknown as PeerTransport;
    const bench = new ServiceBench({ peers });
    const [first] = bench.service.upstreams;
    bench.apply({
        upstreams: [...bench.service.upstreams, { ...first!, name: "v0", address: "127.0.0.1:9100", zone: "b" }],
    });
    bench.host.start();
    await bench.runLoad(100, 4_500);
    bench.host.stop();
    const gaps = times.slice(1).map((time, index) => time - times[index]!);
    assert.ok(times.length >= 4 && gaps.every(gapMs => gapMs <= 1_500), gaps.join(" "));
});

test.run();

function createSingleUpstreamBench(): ServiceBench {
    const bench = new ServiceBench({ upstreams: 1, service: { floor: 0 } });
    bench.upstreams.applyFaults("u0", { slowFactor: 10 });
    return bench;
}
