import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Account, Configuration } from "../../../src/configuration/index.js";
import { FakeClock, FakeMembership, FakeNetwork } from "../../../src/fakes/index.js";
import { DecisionHistory } from "../../../src/logging/index.js";
import { PeerHandlers, PeerMethod } from "../../../src/peers/index.js";
import { SeededRandom } from "../../../src/random/index.js";
import { OwnedRateLimiter } from "../../../src/rates/index.js";
import { createMember } from "../../support/createMember.js";

const HOSTS = 9;
const ACCOUNT: Account = { name: "shop", rate: 20, burst: 20 };
/** An account whose burst is small compared with how irregularly its requests arrive. */
const BURSTY_ACCOUNT: Account = { ...ACCOUNT, burst: 5 };
const WINDOW_MS = 5_000;
/** How long it takes until a host that does not answer is detected, in milliseconds. */
const DETECTION_MS = 1_500;
/** The platform lets an account exceed its rate and burst in a window by this fraction and this number of requests. */
const OVERSHOOT = 0.1;
const EXTRA_REQUESTS = 20;
/** One call for each request, and the answers to calls between the owners. */
const MAX_CALLS_PER_REQUEST = 1.5;
/** The platform requires that fewer than a tenth of a service's requests are not served. */
const MAX_REFUSED_SHARE = 0.1;
const MAX_PER_WINDOW = (ACCOUNT.rate * WINDOW_MS / 1_000 + ACCOUNT.burst) * (1 + OVERSHOOT) + EXTRA_REQUESTS;

interface Fleet {
    readonly clock: FakeClock;
    readonly network: FakeNetwork;
    readonly limiters: readonly OwnedRateLimiter[];
    readonly memberships: readonly FakeMembership[];
    readonly quarantined: Set<string>;
    /** Indexes of the stopped hosts. */
    readonly dead: Set<number>;
}

/** Creates hosts; `calls` gets the methods of all calls between them if it is given, and no host then notices a failure. */
function createFleet(calls?: PeerMethod[]): Fleet {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const members = Array.from({ length: HOSTS }, (_, index) => createMember(index));
    const memberships = members.map(member => new FakeMembership(member, { version: 1, members }));
    const quarantined = new Set<string>();
    const limiters = members.map((member, index) => {
        const handlers = new PeerHandlers();
        network.addHost(member.peerAddress, { handlers });
        const transport = network.createTransport(member.peerAddress);
        return new OwnedRateLimiter({
            clock,
            membership: memberships[index]!,
            transport: {
                send: (address, method, params, timeoutMs) => {
                    calls?.push(method);
                    return transport.send(address, method, params, timeoutMs);
                },
            },
            ...(calls === undefined ? {} : { hasPeerFailure: () => false }),
            handlers,
            decisionLog: new DecisionHistory(clock),
            getConfiguration: () => ({ getAccount: () => undefined }) as unknown as Configuration,
            isQuarantined: fingerprint => quarantined.has(fingerprint),
        });
    });
    return { clock, network, limiters, memberships, quarantined, dead: new Set() };
}

/** Sends requests at random hosts; returns their number and the times, from the start, at which admitted ones go to an upstream. */
async function sendLoad(
    fleet: Fleet,
    perSecond: number,
    durationMs: number,
    maxWaitMs: number,
    account = ACCOUNT,
): Promise<{ sends: number[]; asked: number; }> {
    const random = new SeededRandom(7);
    const sends: number[] = [];
    let asked = 0;
    const start = fleet.clock.getTime();
    const send = async (): Promise<void> => {
        const index = Math.floor(random.getNext() * HOSTS);
        if (fleet.dead.has(index)) {
            return;
        }
        asked++;
        const decision = await fleet.limiters[index]!.admit(account, { fingerprint: "f", maxWaitMs });
        if (decision.isAdmitted) {
            sends.push(fleet.clock.getTime() - start + (decision.waitMs ?? 0));
        }
    };
    const end = start + durationMs;
    while (fleet.clock.getTime() < end) {
        void send();
        await fleet.clock.run(-Math.log(1 - random.getNext()) * 1_000 / perSecond);
    }
    await fleet.clock.run(2_000);
    return { sends: sends.sort((left, right) => left - right), asked };
}

/** Stops a host; the others treat it as unreachable after the detection time. */
function stopHost(fleet: Fleet, id: string): void {
    const index = Number(id.replace("host-", ""));
    fleet.dead.add(index);
    fleet.network.removeHost(createMember(index).peerAddress);
    fleet.clock.schedule(DETECTION_MS, () => fleet.memberships.forEach(membership => membership.unreachable.add(id)));
}

/** Gets the most admitted requests in any window of the given times. */
function getMostInWindow(times: readonly number[]): number {
    return Math.max(...times.map(start => times.filter(time => time >= start && time < start + WINDOW_MS).length));
}

test("an account that floods all hosts gets its whole rate and burst, and no more", async () => {
    const { sends } = await sendLoad(createFleet(), 8 * ACCOUNT.rate, 20_000, 500);
    const most = ACCOUNT.rate * WINDOW_MS / 1_000 + ACCOUNT.burst + 1;
    assert.ok(getMostInWindow(sends) <= most, `${getMostInWindow(sends)} in a window of 5 s`);
    assert.ok(sends.length >= 0.95 * ACCOUNT.rate * 20, `${sends.length} in 20 s`);
});

test("an account far above its rate causes about one call to its owners for each request", async () => {
    const fleet = createFleet();
    const { asked } = await sendLoad(fleet, 8 * ACCOUNT.rate, 10_000, 500);
    const owners = fleet.memberships[0]!.getAccountHosts(ACCOUNT.name);
    const calls = owners.reduce((sum, owner) => sum + fleet.network.getLinks(owner.peerAddress).down.messages, 0);
    assert.ok(calls <= MAX_CALLS_PER_REQUEST * asked, `${calls} messages for ${asked} requests`);
});

// Guards against checks between zones that cost more than the requests: a day where these bytes are dear lost a tenth of its worth.
test("owners check each other only while a host may be cut off", async () => {
    const calls: PeerMethod[] = [];
    const fleet = createFleet(calls);
    await sendLoad(fleet, 2 * ACCOUNT.rate, 5_000, 500);
    assert.not(calls.includes(PeerMethod.CheckOwner));
    stopHost(fleet, "host-8");
    await sendLoad(fleet, 2 * ACCOUNT.rate, 5_000, 500);
    assert.ok(calls.includes(PeerMethod.CheckOwner));
});

test("an account below its rate with irregular requests is refused less often if requests may wait", async () => {
    const withWait = await sendLoad(createFleet(), 0.9 * ACCOUNT.rate, 60_000, 500, BURSTY_ACCOUNT);
    const without = await sendLoad(createFleet(), 0.9 * ACCOUNT.rate, 60_000, 0, BURSTY_ACCOUNT);
    assert.ok(withWait.sends.length >= 0.99 * withWait.asked, `${withWait.sends.length} of ${withWait.asked}`);
    assert.ok(withWait.sends.length > without.sends.length);
});

test("the rate stays within the tolerance while owners fail one after another", async () => {
    const fleet = createFleet();
    const owners = fleet.memberships[0]!.getAccountHosts(ACCOUNT.name);
    fleet.clock.schedule(5_000, () => stopHost(fleet, owners[0]!.id));
    fleet.clock.schedule(8_000, () => stopHost(fleet, owners[1]!.id));
    const { sends } = await sendLoad(fleet, 4 * ACCOUNT.rate, 15_000, 500);
    assert.ok(getMostInWindow(sends) <= MAX_PER_WINDOW, `${getMostInWindow(sends)} of ${MAX_PER_WINDOW}`);
    assert.ok(sends.filter(time => time > 9_500).length >= 0.9 * ACCOUNT.rate * 5.5);
});

test("an account at half of its rate is rarely refused while an owner of its rate does not answer", async () => {
    const fleet = createFleet();
    const owner = fleet.memberships[0]!.getAccountHosts(ACCOUNT.name)[0]!;
    fleet.network.stopAnswers(owner.peerAddress);
    fleet.dead.add(Number(owner.id.replace("host-", "")));
    const { sends, asked } = await sendLoad(fleet, 0.5 * ACCOUNT.rate, 10_000, 0);
    assert.ok(asked - sends.length <= MAX_REFUSED_SHARE * asked, `${asked - sends.length} of ${asked} refused`);
});

test("the rate stays within the tolerance while the answers of an owner do not reach some hosts", async () => {
    const fleet = createFleet();
    const [first, second] = fleet.memberships[0]!.getAccountHosts(ACCOUNT.name);
    fleet.memberships.filter((_, index) => index % 2 === 0).forEach(membership =>
        fleet.network.closeDirection(first!.peerAddress, membership.getSelf().peerAddress)
    );
    fleet.network.closeDirection(first!.peerAddress, second!.peerAddress);
    const { sends } = await sendLoad(fleet, 4 * ACCOUNT.rate, 15_000, 0);
    assert.ok(getMostInWindow(sends) <= MAX_PER_WINDOW, `${getMostInWindow(sends)} of ${MAX_PER_WINDOW}`);
});

test("the rate stays within the tolerance when no owner can be reached, not even by other owners", async () => {
    const fleet = createFleet();
    for (const owner of fleet.memberships[0]!.getAccountHosts(ACCOUNT.name)) {
        fleet.network.removeHost(owner.peerAddress);
    }
    const { sends } = await sendLoad(fleet, 4 * ACCOUNT.rate, 15_000, 0);
    assert.ok(getMostInWindow(sends) <= MAX_PER_WINDOW, `${getMostInWindow(sends)} of ${MAX_PER_WINDOW}`);
});

test("a burst that can't be divided evenly over three owners can be spent as a whole", async () => {
    const fleet = createFleet();
    await sendLoad(fleet, 1, 100, 0, BURSTY_ACCOUNT);
    await fleet.clock.run(WINDOW_MS);
    const admissions = Array.from({ length: BURSTY_ACCOUNT.burst }, () => fleet.limiters[0]!.admit(BURSTY_ACCOUNT));
    await fleet.clock.run(1_000);
    const refused = (await Promise.all(admissions)).filter(decision => !decision.isAdmitted).length;
    assert.is(refused, 0);
});

test("a request in quarantine at the account's owner is refused at every host", async () => {
    const fleet = createFleet();
    fleet.quarantined.add("bad");
    const decisions = Promise.all(
        fleet.limiters.map(limiter => limiter.admit(ACCOUNT, { fingerprint: "bad", maxWaitMs: 0 })),
    );
    await fleet.clock.run(1_000);
    for (const decision of await decisions) {
        assert.ok(!decision.isAdmitted && decision.isQuarantined === true);
    }
});

test("a rate of 0 means no limit", async () => {
    const fleet = createFleet();
    const decisions = Promise.all(
        Array.from({ length: 100 }, () => fleet.limiters[0]!.admit({ name: "free", rate: 0, burst: 0 })),
    );
    await fleet.clock.run(1_000);
    assert.ok((await decisions).every(decision => decision.isAdmitted));
});

test.run();
