import { FakeClock, FakeNetwork } from "../../src/fakes/index.js";
import type { Member } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { RegisteredMembership } from "../../src/membership/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { Replica, ReplicaSynchronizer } from "../../src/replica/index.js";
import { createMember } from "./createMember.js";
import { createUpstreamValue } from "./createUpstreamValue.js";
import { FakeReplicaSource } from "./FakeReplicaSource.js";
import { isRenewalValue } from "./isRenewalValue.js";

const HOST_PREFIX = "hosts/";
const UPSTREAM_PREFIX = "upstreams/";
/** Time between two renewals of an upstream's entry. */
const RENEWAL_MS = 1_500;
/** Until the hosts have found their order. */
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
    readonly keeper: ReplicaSynchronizer;
    readonly membership: RegisteredMembership;
}

interface ReplicaFleet {
    readonly clock: FakeClock;
    readonly network: FakeNetwork;
    readonly source: FakeReplicaSource;
    /** Starts all hosts and waits until they have settled. */
    readonly start: () => Promise<void>;
    /** Starts one host anew. */
    readonly startHost: (id: string) => Promise<void>;
    /** Removes a host as a crash does. */
    readonly removeHost: (id: string) => void;
    /** Cuts a host off from all others. */
    readonly closeHost: (id: string) => void;
    /** Ends the cut of a host. */
    readonly openHost: (id: string) => void;
    /** Gets the ids of the hosts that have missed the store since a time, in milliseconds of the clock. */
    readonly getHostsWithoutStoreSince: (time: number) => readonly string[];
    /** Gets the ids of the hosts that take themselves for isolated. */
    readonly getIsolatedHosts: () => readonly string[];
    /** Gets the ids of the hosts in the order in which they watch, the first ones of all zones before the second ones. */
    readonly getWatchOrder: () => readonly string[];
    /** Gets the ids of the hosts whose copy of an item has another value. */
    readonly getHostsWithout: (key: string, value: string | undefined) => readonly string[];
    /** Gets the ids of the hosts that take another one for reachable. */
    readonly getHostsThatReach: (id: string) => readonly string[];
    /** Gets how old the copy of each living host is, by its id, in milliseconds. */
    readonly getAges: () => ReadonlyMap<string, number>;
    /** Gets what each host has sent so far, by its id. */
    readonly getSent: () => ReadonlyMap<string, { readonly messages: number; readonly bytes: number; }>;
}

/**
 * Creates hosts that replicate a store in memory.
 * @param count - How many.
 * @param options - Their links and the upstreams in the store.
 */
export function createReplicaFleet(count: number, options: ReplicaFleetOptions = {}): ReplicaFleet {
    const clock = new FakeClock();
    const source = new FakeReplicaSource(clock);
    const network = new FakeNetwork(clock, options.linkBytesPerMs);
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
        network,
        source,
        start: async () => {
            const ids = Array.from({ length: count }, (_, index) => `host-${index}`);
            startRenewals(clock, source, options.upstreams ?? 0);
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
        openHost: id => network.startAnswers(hosts.get(id)!.member.peerAddress),
        getHostsWithoutStoreSince: time =>
            [...hosts.values()].filter(host => host.keeper.getStoreRegainedTime() > time).map(host => host.member.id),
        getIsolatedHosts: () =>
            [...hosts.values()].filter(host => host.membership.isIsolated()).map(host => host.member.id),
        getWatchOrder: () => {
            const orders = [...hosts.values()][0]!.membership.getWatchRankings();
            const places = Array.from({ length: count }, (_, place) => orders.flatMap(order => order[place] ?? []));
            return places.flat().map(member => member.id);
        },
        getHostsWithout: (key, value) =>
            [...hosts.values()].filter(host => findValue(host, key) !== value).map(host => host.member.id),
        getHostsThatReach: id =>
            [...hosts.values()].filter(host => host.membership.isReachable(id)).map(host => host.member.id),
        getAges: () => new Map([...hosts.values()].map(host => [host.member.id, host.keeper.getAge()])),
        getSent: () =>
            new Map([...hosts.values()].map(({ member }) => {
                const { messages, bytes } = network.getLinks(member.peerAddress).up;
                return [member.id, { messages, bytes }];
            })),
    };
}

/** Lets upstreams renew their entries, evenly spread over the time between two renewals of each. */
function startRenewals(clock: FakeClock, source: FakeReplicaSource, upstreams: number): void {
    for (let index = 0; index < upstreams; index++) {
        let sequence = 0;
        const renew = (): void => {
            source.write(`${UPSTREAM_PREFIX}${index}`, createUpstreamValue("ready", ++sequence));
            clock.schedule(RENEWAL_MS, renew);
        };
        clock.schedule(index * RENEWAL_MS / upstreams, renew);
    }
}

function createHost(member: Member, clock: FakeClock, source: FakeReplicaSource, network: FakeNetwork): ReplicaHost {
    const replica = new Replica(isRenewalValue);
    const handlers = new PeerHandlers();
    const membership: RegisteredMembership = new RegisteredMembership(member, {
        isUnreachable: id => keeper.isUnreachable(id),
        isIsolated: () => keeper.isIsolated(),
    });
    const keeper = new ReplicaSynchronizer({
        clock,
        decisions: new DecisionHistory(clock),
        replica,
        store: source.createSource(member.id, network.getLinks(member.peerAddress).down),
        transport: network.createTransport(member.peerAddress),
        handlers,
        random: new SeededRandom(Number(member.id.replace("host-", ""))),
        self: member,
        getHostRankings: () => membership.getWatchRankings(),
    });
    replica.addListener(() => membership.applyMembers(getMembers(replica)));
    network.addHost(member.peerAddress, { handlers });
    return { member, replica, keeper, membership };
}

function getMembers(replica: Replica): readonly Member[] {
    return replica.getEvents().filter(event => event.key.startsWith(HOST_PREFIX) && event.value !== undefined)
        .map(event => createMember(Number(event.value!.replace("host-", ""))));
}
