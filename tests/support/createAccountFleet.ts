import { AccountHost } from "../../src/accounts/index.js";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import type { Account, AccountKey, Configuration, Route, Service } from "../../src/configuration/index.js";
import {
    FakeClock,
    FakeHostClock,
    FakeMembership,
    FakeNetwork,
    FakeServiceRunner,
    FakeStore,
} from "../../src/fakes/index.js";
import type { Member, MembershipView } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { PeerHandlers, PeerMethod } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import type { CallerRequest } from "../../src/requests/index.js";
import type { ServiceRequest } from "../../src/services/index.js";
import type { Store } from "../../src/store/index.js";

const ZONES = ["a", "b", "c"];
const HOLD_OFF_MS = 5_000;

interface FleetHost {
    readonly member: Member;
    readonly membership: FakeMembership;
    readonly runner: FakeServiceRunner;
    readonly host: AccountHost;
    readonly clock: FakeHostClock;
    /** Whether the process was killed; its calls then have no effect and no answer. */
    isDead: boolean;
}

interface Fleet {
    readonly clock: FakeClock;
    readonly network: FakeNetwork;
    readonly store: FakeStore;
    readonly runs: ServiceRequest[];
    readonly hosts: FleetHost[];
    account: Account;
    /** Ids of keys that have been withdrawn. */
    readonly withdrawnKeys: Set<string>;
    start(): Promise<void>;
    addHost(id: string, zone: string, incarnation: string, view: MembershipView): FleetHost;
    applyView(view: MembershipView): void;
    createRequest(kind: RouteKind, fields?: Partial<CallerRequest>): CallerRequest;
    run(index: number, request: CallerRequest): Promise<Outcome>;
}

/**
 * Creates entry hosts in memory, each an account host and a service host in its own zone.
 * @param size - Number of hosts.
 */
export function createAccountFleet(size: number): Fleet {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const store = new FakeStore(clock);
    const runs: ServiceRequest[] = [];
    const hosts: FleetHost[] = [];
    let nextRequest = 1;
    const members = Array.from({ length: size }, (_, index) => createMember(`m${index}`, ZONES[index % 3]!, "i1"));
    const fleet: Fleet = {
        clock,
        network,
        store,
        runs,
        hosts,
        account: { name: "shop", rate: 100, burst: 100 },
        withdrawnKeys: new Set(),
        start: () => clock.run(HOLD_OFF_MS),
        addHost: (id, zone, incarnation, view) => {
            const member = createMember(id, zone, incarnation);
            const membership = new FakeMembership(member, view);
            const hostClock = new FakeHostClock(clock);
            const runner = new FakeServiceRunner(hostClock, runs);
            const handlers = new PeerHandlers();
            handlers.add(PeerMethod.FindOutcome, params => runner.findOutcome(params));
            const runOnHost = <T>(work: () => Promise<T>): Promise<T> => runUnlessKilled(() => fleetHost.isDead, work);
            const transport = network.createTransport(member.peerAddress);
            const forwarder = network.createForwarder(member.peerAddress);
            const host = new AccountHost({
                clock: hostClock,
                membership,
                handlers,
                store: createHostStore(store, runOnHost),
                random: new SeededRandom(1),
                transport: { send: (...args) => runOnHost(() => transport.send(...args)) },
                forwarder: {
                    runService: (...args) => runOnHost(() => forwarder.runService(...args)),
                    runAccount: (...args) => runOnHost(() => forwarder.runAccount(...args)),
                },
                serviceRunner: runner,
                decisionLog: new DecisionHistory(hostClock),
                getConfiguration: () => createConfiguration(fleet.account, fleet.withdrawnKeys),
            });
            network.addHost(member.peerAddress, { handlers, serviceRunner: runner, accountRunner: host });
            const fleetHost: FleetHost = { member, membership, runner, host, clock: hostClock, isDead: false };
            hosts.push(fleetHost);
            return fleetHost;
        },
        applyView: view => hosts.forEach(({ membership }) => membership.applyView(view)),
        createRequest: (kind, fields = {}) => ({
            requestId: `r${nextRequest++}`,
            account: fleet.account,
            keyId: "k",
            route: createRoute(kind),
            method: kind === RouteKind.Order ? "POST" : "GET",
            path: `/${kind}`,
            headers: {},
            body: Buffer.from(""),
            idempotencyKey: undefined,
            timeoutMs: 2_000,
            ...fields,
        }),
        run: (index, request) => hosts[index]!.host.run(request, new AbortController().signal),
    };
    members.forEach(member => fleet.addHost(member.id, member.zone, member.incarnation, { version: 1, members }));
    return fleet;
}

/** Runs a call of a process; once the process has been killed, the call never ends. */
async function runUnlessKilled<T>(isDead: () => boolean, work: () => Promise<T>): Promise<T> {
    const pending = new Promise<T>(() => {});
    if (isDead()) {
        return await pending;
    }
    try {
        const result = await work();
        return isDead() ? await pending : result;
    }
    catch (error) {
        return isDead() ? await pending : Promise.reject(error);
    }
}

function createHostStore(store: FakeStore, runOnHost: <T>(work: () => Promise<T>) => Promise<T>): Store {
    return {
        get: key => runOnHost(() => store.get(key)),
        compareAndSwap: (...args) => runOnHost(() => store.compareAndSwap(...args)),
        remove: (...args) => runOnHost(() => store.remove(...args)),
        watch: (...args) => runOnHost(() => store.watch(...args)),
        createLease: durationMs => runOnHost(() => store.createLease(durationMs)),
        renewLease: leaseId => runOnHost(() => store.renewLease(leaseId)),
        releaseLease: leaseId => runOnHost(() => store.releaseLease(leaseId)),
    };
}

function createMember(id: string, zone: string, incarnation: string): Member {
    return { id, region: "r", zone, peerAddress: `${id}:1`, callerAddress: `${id}:2`, incarnation };
}

function createRoute(kind: RouteKind): Route {
    const base = { path: `/${kind}`, methods: ["GET", "POST"], service: "looms", access: RouteAccess.Accounts };
    return { name: kind, kind, deadlineMs: 2_000, maxBodyBytes: 1_000, ...base };
}

function createConfiguration(account: Account, withdrawnKeys: ReadonlySet<string>): Configuration {
    const service = createService();
    return {
        version: 1,
        getAccount: name => name === account.name ? account : undefined,
        getKey: id => withdrawnKeys.has(id) ? createWithdrawnKey(id, account.name) : undefined,
        findRoute: () => undefined,
        getRoute: () => undefined,
        getService: () => service,
        getServices: () => [service],
        getAccounts: () => [account],
    };
}

function createWithdrawnKey(id: string, account: string): AccountKey {
    return { id, account, salt: "", hash: "", withdrawn: true };
}

function createService(): Service {
    const upstreams = ZONES.map(zone => ({
        name: `${zone}-1`,
        address: `${zone}:9`,
        zone,
        slots: 6,
        connections: 300,
    }));
    const detection = {
        healthyErrorRate: 0.01,
        failingErrorRate: 0.5,
        ejectThreshold: 5,
        slowFactor: 3,
        probationMs: 1,
    };
    return { name: "looms", upstreams, floor: 0.5, retryBudget: 0.2, queuePerSlot: 2, detection };
}
