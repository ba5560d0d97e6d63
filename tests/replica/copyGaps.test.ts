import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock, FakeNetwork } from "../../src/fakes/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { Replica, ReplicaSynchronizer } from "../../src/replica/index.js";
import { createMember } from "../support/createMember.js";
import { FakeReplicatedStore } from "../support/FakeReplicatedStore.js";

const MEMBERS = [0, 1, 2].map(index => createMember(index));

const RANKINGS = [MEMBERS];

const test = suite("gaps in replicas");

test("a host that was cut off right after its start gets the changes that it missed", async () => {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const source = new FakeReplicatedStore(clock);
    const replicas = MEMBERS.map(({ id, peerAddress }, index) => {
        const replica = new Replica();
        const handlers = new PeerHandlers();
        network.addHost(peerAddress, { handlers });
        const synchronizer = new ReplicaSynchronizer({
            clock,
            decisions: new DecisionHistory(clock),
            replica,
            store: source.createHostStore(id),
            transport: network.createTransport(peerAddress),
            handlers,
            random: new SeededRandom(index),
            self: MEMBERS[index]!,
            getHostRankings: () => RANKINGS,
        });
        void synchronizer.start();
        return replica;
    });
    const last = MEMBERS[2]!;
    await clock.run(500);
    network.stopAnswers(last.peerAddress);
    source.unanswered.add(last.id);
    await clock.run(3_000);
    source.write("upstreams/a", "1");
    await clock.run(3_000);
    network.startAnswers(last.peerAddress);
    await clock.run(4_000);
    const values = replicas.map(replica => replica.getEvents().find(event => event.key === "upstreams/a")?.value);
    assert.equal(values, ["1", "1", "1"]);
});

test.run();
