import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock, FakeNetwork } from "../../src/fakes/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { Replica, ReplicaSynchronizer } from "../../src/replica/index.js";
import { createMember } from "../support/createMember.js";
import { FakeReplicaSource } from "../support/FakeReplicaSource.js";

const MEMBERS = [0, 1, 2].map(index => createMember(index));

const ORDERS = [MEMBERS];

const test = suite("gaps in copies");

test("a host that was out of touch at its start is not taken to know what it has missed", async () => {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const source = new FakeReplicaSource(clock);
    const replicas = MEMBERS.map(({ id, peerAddress }, index) => {
        const replica = new Replica();
        const handlers = new PeerHandlers();
        network.addHost(peerAddress, { handlers });
        const keeper = new ReplicaSynchronizer({
            clock,
            decisions: new DecisionHistory(clock),
            replica,
            store: source.createSource(id),
            transport: network.createTransport(peerAddress),
            handlers,
            random: new SeededRandom(index),
            self: MEMBERS[index]!,
            getHostRankings: () => ORDERS,
        });
        void keeper.start();
        return replica;
    });
    const last = MEMBERS[2]!;
    await clock.run(500);
    network.stopAnswers(last.peerAddress);
    source.silenced.add(last.id);
    await clock.run(3_000);
    source.write("upstreams/a", "1");
    await clock.run(3_000);
    network.startAnswers(last.peerAddress);
    await clock.run(4_000);
    const copies = replicas.map(replica => replica.getEvents().find(event => event.key === "upstreams/a")?.value);
    assert.equal(copies, ["1", "1", "1"]);
});

test.run();
