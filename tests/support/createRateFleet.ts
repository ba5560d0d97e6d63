import type { Account, Configuration } from "../../src/configuration/index.js";
import { FakeClock, FakeHostClock, FakeMembership, FakeNetwork } from "../../src/fakes/index.js";
import type { Member, MembershipView } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SharedRateLimiter } from "../../src/rates/index.js";
import type { RateGrant } from "../../src/rates/index.js";

interface RateHost {
    readonly member: Member;
    readonly clock: FakeHostClock;
    readonly membership: FakeMembership;
    readonly limiter: SharedRateLimiter;
}

interface Admission {
    readonly time: number;
    readonly grant: RateGrant;
    readonly host: RateHost;
    isRestored: boolean;
}

interface RateFleet {
    readonly clock: FakeClock;
    readonly network: FakeNetwork;
    readonly hosts: RateHost[];
    readonly admissions: Admission[];
    account: Account;
    /** Number of refused requests. */
    refused: number;
    createView(version: number, indexes: readonly number[]): MembershipView;
    admit(index: number, count: number): void;
    findExcess(): string | undefined;
}

/**
 * Creates the rate limiters of several hosts in memory.
 * @param size - Number of hosts; all are members at first.
 * @param account - The account whose rate they limit.
 */
export function createRateFleet(size: number, account: Account): RateFleet {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const members = Array.from({ length: size }, (_, index) => createMember(index));
    const createView = (version: number, indexes: readonly number[]): MembershipView => ({
        version,
        members: indexes.map(index => members[index]!),
    });
    const fleet: RateFleet = {
        clock,
        network,
        account,
        createView,
        hosts: [],
        admissions: [],
        refused: 0,
        admit: (index, count) => {
            const host = fleet.hosts[index]!;
            for (let request = 0; request < count; request++) {
                void host.limiter.admit(fleet.account).then(decision => {
                    if (decision.isAdmitted) {
                        const { grant } = decision;
                        fleet.admissions.push({ time: clock.getTime(), grant, host, isRestored: false });
                    }
                    else {
                        fleet.refused++;
                    }
                });
            }
        },
        findExcess: () => findExcess(fleet.admissions.filter(admission => !admission.isRestored), account),
    };
    const view = createView(1, members.map((_, index) => index));
    for (const member of members) {
        fleet.hosts.push(createHost(member, view, fleet));
    }
    return fleet;
}

function createMember(index: number): Member {
    const id = `m${index}`;
    const zone = ["a", "b", "c"][index % 3]!;
    return { id, region: "r", zone, peerAddress: `${id}:1`, callerAddress: `${id}:2`, incarnation: "i1" };
}

function createHost(member: Member, view: MembershipView, fleet: RateFleet): RateHost {
    const clock = new FakeHostClock(fleet.clock);
    const membership = new FakeMembership(member, view);
    const handlers = new PeerHandlers();
    const limiter = new SharedRateLimiter({
        clock,
        membership,
        handlers,
        transport: fleet.network.createTransport(member.peerAddress),
        decisionLog: new DecisionHistory(clock),
        getConfiguration: () => ({ getAccount: () => fleet.account }) as unknown as Configuration,
    });
    fleet.network.addHost(member.peerAddress, { handlers });
    return { member, clock, membership, limiter };
}

/** Finds a time window in which more requests were admitted than burst + rate x time. */
function findExcess(admissions: readonly Admission[], account: Account): string | undefined {
    const times = admissions.map(admission => admission.time).sort((first, second) => first - second);
    for (let first = 0; first < times.length; first++) {
        for (let last = first; last < times.length; last++) {
            const spanMs = times[last]! - times[first]!;
            const bound = account.burst + account.rate * spanMs / 1_000;
            if (last - first + 1 > bound + 1e-6) {
                return `${last - first + 1} in ${spanMs} ms from ${times[first]}, bound ${bound}`;
            }
        }
    }
    return undefined;
}
