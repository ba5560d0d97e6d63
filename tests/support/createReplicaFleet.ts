import { FakeClock, FakeNetwork } from "../../src/fakes/index.js";
import type { Member } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { RegisteredMembership } from "../../src/membership/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { Replica, ReplicaSynchronizer } from "../../src/replica/index.js";
import { createMember } from "./createMember.js";
import { createUpstreamValue } from "./createUpstreamValue.js";
import { FakeReplicatedStore } from "./FakeReplicatedStore.js";
import { isRenewalValue } from "./isRenewalValue.js";

const HOST_PREFIX = "hosts/";
const UPSTREAM_PREFIX = "upstreams/";
/** Time between two renewals of an upstream's entry, in milliseconds. */
const RENEWAL_MS = 1_500;
/** Time for the hosts to settle on their watch ranking, in milliseconds. */
const START_MS = 6_000;

interface ReplicaFleetOptions {
    /** Rate of each host's link, in bytes per millisecond; unlimited if left out. */
    readonly linkBytesPerMs?: number;
    /** Upstreams that renew their entries; none if left out. */
    readonly upstreams?: number;
}

interface ReplicaHost {
    readonly member: Member;
    readonly replica: Replica;
    readonly synchronizer: ReplicaSynchronizer;
    readonly membership: RegisteredMembership;
}

interface ReplicaFleet {
    readonly clock: FakeClock;
    readonly network: FakeNetwork;
    readonly store: FakeReplicatedStore;
    /** Starts all hosts and waits until they have settled. */
    readonly start: () => Promise<void>;
    /** Starts a host, or starts it again after a crash. */
    readonly startHost: (id: string) => Promise<void>;
    /** Removes a host as a crash does. */
    readonly removeHost: (id: string) => void;
    /** Cuts a host off from all others. */
    readonly closeHost: (id: string) => void;
    /** Reconnects a host to all others. */
    readonly openHost: (id: string) => void;
    /** Gets the ids of the hosts that lost contact with the store after a time, in milliseconds of the clock. */
    readonly getHostsWithoutStoreSince: (time: number) => readonly string[];
    /** Gets the ids of the hosts whose membership reports them as isolated. */
    readonly getIsolatedHosts: () => readonly string[];
    /** Gets the ids of the hosts by rank in the watch ranking of their zone: the first of all zones, then the second, and so on. */
    readonly getWatchRanking: () => readonly string[];
    /** Gets the ids of the hosts whose replica has another value of an item. */
    readonly getHostsWithout: (key: string, value: string | undefined) => readonly string[];
    /** Gets the ids of the hosts whose membership reports a host as reachable. */
    readonly getHostsThatReach: (id: string) => readonly string[];
    /** Gets the age of the replica of each running host, by host id, in milliseconds. */
    readonly getAges: () => ReadonlyMap<string, number>;
    /** Gets the number of messages and bytes that each host has sent, by host id. */
    readonly getSent: () => ReadonlyMap<string, { readonly messages: number; readonly bytes: number; }>;
}

/**
 * Creates hosts that replicate a store in memory.
 * @param count - Number of hosts.
 * @param options - Their links and the upstreams in the store.
 */
export function createReplicaFleet(count: number, options: ReplicaFleetOptions = {}): ReplicaFleet {
    const clock = new FakeClock();
    const store = new FakeReplicatedStore(clock);
    const network = new FakeNetwork(clock, options.linkBytesPerMs);
    const hosts = new Map<string, ReplicaHost>();
    const startHost = async (id: string): Promise<void> => {
        const host = createHost(createMember(Number(id.replace("host-", ""))), clock, store, network);
        hosts.set(id, host);
        await host.synchronizer.start();
    };
    const findValue = (host: ReplicaHost, key: string): string | undefined =>
        host.replica.getEvents().find(event => event.key === key)?.value;
    return {
        clock,
        network,
        store,
        start: async () => {
            const ids = Array.from({ length: count }, (_, index) => `host-${index}`);
            startRenewals(clock, store, options.upstreams ?? 0);
            ids.forEach(id => store.write(`${HOST_PREFIX}${id}`, id));
            await Promise.all(ids.map(startHost));
            await clock.run(START_MS);
        },
        startHost,
        removeHost: id => {
            network.removeHost(hosts.get(id)!.member.peerAddress);
            void hosts.get(id)!.synchronizer.stop();
            hosts.delete(id);
        },
        closeHost: id => network.stopAnswers(hosts.get(id)!.member.peerAddress),
        openHost: id => network.startAnswers(hosts.get(id)!.member.peerAddress),
        getHostsWithoutStoreSince: time =>
            [...hosts.values()].filter(host => host.synchronizer.getStoreRegainedTime() > time).map(host =>
                host.member.id
            ),
        getIsolatedHosts: () =>
            [...hosts.values()].filter(host => host.membership.isIsolated()).map(host => host.member.id),
        getWatchRanking: () => {
            const rankings = [...hosts.values()][0]!.membership.getWatchRankings();
            const ranks = Array.from({ length: count }, (_, rank) => rankings.flatMap(ranking => ranking[rank] ?? []));
            return ranks.flat().map(member => member.id);
        },
        getHostsWithout: (key, value) =>
            [...hosts.values()].filter(host => findValue(host, key) !== value).map(host => host.member.id),
        getHostsThatReach: id =>
            [...hosts.values()].filter(host => host.membership.isReachable(id)).map(host => host.member.id),
        getAges: () => new Map([...hosts.values()].map(host => [host.member.id, host.synchronizer.getAge()])),
        getSent: () =>
            new Map([...hosts.values()].map(({ member }) => {
                const { messages, bytes } = network.getLinks(member.peerAddress).up;
                return [member.id, { messages, bytes }];
            })),
    };
}

/** Starts the renewals of all upstream entries, evenly spread over the renewal interval. */
function startRenewals(clock: FakeClock, store: FakeReplicatedStore, upstreams: number): void {
    for (let index = 0; index < upstreams; index++) {
        let sequence = 0;
        const renew = (): void => {
            store.write(`${UPSTREAM_PREFIX}${index}`, createUpstreamValue("ready", ++sequence));
            clock.schedule(RENEWAL_MS, renew);
        };
        clock.schedule(index * RENEWAL_MS / upstreams, renew);
    }
}

function createHost(member: Member, clock: FakeClock, store: FakeReplicatedStore, network: FakeNetwork): ReplicaHost {
    const replica = new Replica(isRenewalValue);
    const handlers = new PeerHandlers();
    const membership: RegisteredMembership = new RegisteredMembership(member, {
        isUnreachable: id => synchronizer.isUnreachable(id),
        isIsolated: () => synchronizer.isIsolated(),
    });
    const synchronizer = new ReplicaSynchronizer({
        clock,
        decisions: new DecisionHistory(clock),
        replica,
        store: store.createHostStore(member.id, network.getLinks(member.peerAddress).down),
        transport: network.createTransport(member.peerAddress),
        handlers,
        random: new SeededRandom(Number(member.id.replace("host-", ""))),
        self: member,
        getHostRankings: () => membership.getWatchRankings(),
    });
    replica.addListener(() => membership.applyMembers(getMembers(replica)));
    network.addHost(member.peerAddress, { handlers });
    return { member, replica, synchronizer, membership };
}

function getMembers(replica: Replica): readonly Member[] {
    return replica.getEvents().filter(event => event.key.startsWith(HOST_PREFIX) && event.value !== undefined)
        .map(event => createMember(Number(event.value!.replace("host-", ""))));
}
