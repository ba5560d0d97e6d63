import { FakeClock, FakeNetwork } from "../../src/fakes/index.js";
import type { Member } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { RegisteredMembership } from "../../src/membership/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { Replica, ReplicaKeeper } from "../../src/replica/index.js";
import { createMember } from "./createMember.js";
import { FakeReplicaSource } from "./FakeReplicaSource.js";

const HOST_PREFIX = "hosts/";
/** Until the hosts have found their order. */
const START_MS = 6_000;

interface ReplicaHost {
    readonly member: Member;
    readonly replica: Replica;
    readonly keeper: ReplicaKeeper;
    readonly membership: RegisteredMembership;
}

interface ReplicaFleet {
    readonly clock: FakeClock;
    readonly source: FakeReplicaSource;
    /** Starts all hosts and waits until they have settled. */
    readonly start: () => Promise<void>;
    /** Starts one host anew. */
    readonly startHost: (id: string) => Promise<void>;
    /** Removes a host as a crash does. */
    readonly removeHost: (id: string) => void;
    /** Cuts a host off from all others. */
    readonly closeHost: (id: string) => void;
    /** Gets the ids of the hosts that take themselves for isolated. */
    readonly getIsolatedHosts: () => readonly string[];
    /** Gets the ids of the hosts in the order in which they watch. */
    readonly getWatchOrder: () => readonly string[];
    /** Gets the ids of the hosts whose copy of an item has another value. */
    readonly getHostsWithout: (key: string, value: string | undefined) => readonly string[];
    /** Gets the ids of the hosts that take another one for reachable. */
    readonly getHostsThatReach: (id: string) => readonly string[];
}

/**
 * Creates hosts that replicate a store in memory.
 * @param count - How many.
 */
export function createReplicaFleet(count: number): ReplicaFleet {
    const clock = new FakeClock();
    const source = new FakeReplicaSource(clock);
    const network = new FakeNetwork(clock);
    const hosts = new Map<string, ReplicaHost>();
    const startHost = async (id: string): Promise<void> => {
        const host = createHost(createMember(Number(id.replace("host-", ""))), clock, source, network);
        hosts.set(id, host);
        await host.keeper.start();
    };
    const findValue = (host: ReplicaHost, key: string): string | undefined =>
        host.replica.getEvents().find(event => event.key === key)?.value;
    return {
        clock,
        source,
        start: async () => {
            const ids = Array.from({ length: count }, (_, index) => `host-${index}`);
            ids.forEach(id => source.write(`${HOST_PREFIX}${id}`, id));
            await Promise.all(ids.map(startHost));
            await clock.run(START_MS);
        },
        startHost,
        removeHost: id => {
            network.removeHost(hosts.get(id)!.member.peerAddress);
            void hosts.get(id)!.keeper.stop();
            hosts.delete(id);
        },
        closeHost: id => network.stopAnswers(hosts.get(id)!.member.peerAddress),
        getIsolatedHosts: () =>
            [...hosts.values()].filter(host => host.membership.isIsolated()).map(host => host.member.id),
        getWatchOrder: () => [...hosts.values()][0]!.membership.getWatchOrder().map(member => member.id),
        getHostsWithout: (key, value) =>
            [...hosts.values()].filter(host => findValue(host, key) !== value).map(host => host.member.id),
        getHostsThatReach: id =>
            [...hosts.values()].filter(host => host.membership.isReachable(id)).map(host => host.member.id),
    };
}

function createHost(member: Member, clock: FakeClock, source: FakeReplicaSource, network: FakeNetwork): ReplicaHost {
    const replica = new Replica();
    const handlers = new PeerHandlers();
    const membership: RegisteredMembership = new RegisteredMembership(member, {
        isUnreachable: id => keeper.isUnreachable(id),
        isIsolated: () => keeper.isIsolated(),
    });
    const keeper = new ReplicaKeeper({
        clock,
        decisions: new DecisionHistory(clock),
        replica,
        source: source.createSource(member.id),
        transport: network.createTransport(member.peerAddress),
        handlers,
        selfId: member.id,
        getOrder: () => membership.getWatchOrder(),
    });
    replica.addListener(() => membership.applyMembers(getMembers(replica)));
    network.addHost(member.peerAddress, { handlers });
    return { member, replica, keeper, membership };
}

function getMembers(replica: Replica): readonly Member[] {
    return replica.getEvents().filter(event => event.key.startsWith(HOST_PREFIX) && event.value !== undefined)
        .map(event => createMember(Number(event.value!.replace("host-", ""))));
}
