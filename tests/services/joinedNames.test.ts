import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { getPartKey } from "../../src/configuration/index.js";
import type { Configuration, Service } from "../../src/configuration/index.js";
import { FakeClock, FakeMembership, FakeNetwork } from "../../src/fakes/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { ServiceHost, UpstreamAnswerKind } from "../../src/services/index.js";
import type { UpstreamTransport } from "../../src/services/index.js";
import { createMember } from "../support/createMember.js";
import { createServiceRequest } from "../support/createServiceRequest.js";

// Guards against ROUTE: service "b/c" in zone "a" ran at the upstreams of service "c" in zone "a/b".
test("two services never share a pool, whatever their names and zones are", async () => {
    const services = [createService("c", "a/b"), createService("b/c", "a")];
    const sent: string[] = [];
    const host = createHost(services, sent);
    for (const { name, upstreams } of services) {
        await host.run(
            createServiceRequest({ service: name, zone: upstreams[0]!.zone }),
            new AbortController().signal,
        );
    }
    host.stop();
    assert.equal(sent, ["c of a/b", "b/c of a"]);
});

// Guards against parts whose load and upstreams are taken for each other's.
test("two parts never share a key, whatever the names of their zones are", () => {
    const zones = ["a", "a 1", "a 1 1", " ", " 1", "1", "a 1 ", "a  1", ""];
    const keys = zones.flatMap(zone => [0, 1, 2, 11].map(index => getPartKey(zone, index)));
    assert.is(new Set(keys).size, keys.length, keys.join());
    assert.is(getPartKey("a", 0), "a");
});

test.run();

function createService(name: string, zone: string): Service {
    const upstream = { name: `${name} of ${zone}`, address: "127.0.0.1:1", zone, slots: 1, connections: 1 };
    const detection = {
        healthyErrorRate: 0.02,
        failingErrorRate: 0.9,
        ejectThreshold: 3,
        slowFactor: 4,
        probationMs: 1_000,
    };
    return { name, upstreams: [upstream], floor: 0.5, retryBudget: 0.2, queuePerSlot: 2, detection };
}

/** Creates a service host whose transport records the upstreams that requests are sent to. */
function createHost(services: readonly Service[], sent: string[]): ServiceHost {
    const clock = new FakeClock();
    const transport: UpstreamTransport = {
        send: async upstream => {
            sent.push(upstream.name);
            return { kind: UpstreamAnswerKind.Answered, status: 200, headers: {}, body: Readable.from([]) };
        },
        closeIdle: () => {},
    };
    const self = createMember(0);
    const host = new ServiceHost({
        clock,
        random: new SeededRandom(1),
        transport,
        handlers: new PeerHandlers(),
        peers: new FakeNetwork(clock).createTransport(self.peerAddress),
        membership: new FakeMembership(self, { version: 1, members: [self] }),
        decisions: new DecisionHistory(clock),
    });
    host.apply({
        getService: (name: string) => services.find(service => service.name === name),
        getAccount: () => undefined,
    } as unknown as Configuration);
    return host;
}
