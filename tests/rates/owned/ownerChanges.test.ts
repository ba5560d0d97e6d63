import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Account, Configuration } from "../../../src/configuration/index.js";
import { FakeClock, FakeNetwork } from "../../../src/fakes/index.js";
import type { Member } from "../../../src/head/index.js";
import { DecisionHistory } from "../../../src/logging/index.js";
import { RegisteredMembership } from "../../../src/membership/index.js";
import { PeerHandlers } from "../../../src/peers/index.js";
import { SeededRandom } from "../../../src/random/index.js";
import { OwnedRateLimiter } from "../../../src/rates/index.js";
import { createMember } from "../../support/createMember.js";

const HOSTS = 9;
const ACCOUNT: Account = { name: "shop", rate: 20, burst: 20 };
/** An account whose burst takes longer to fill than a rolling restart. */
const LARGE_ACCOUNT: Account = { name: "large shop", rate: 100, burst: 200 };
/** An account and a fleet as on the platform's smaller deployments. */
const HOT_ACCOUNT: Account = { name: "hot shop", rate: 58, burst: 58 };
const LARGE_FLEET = 36;
/** One in so many of the hosts out of its reach is known to a host of a small group. */
const KNOWN_SHARE = 4;
const SHORT_DAY_MS = 13_000;
const WINDOW_MS = 5_000;
/** The platform lets an account exceed its rate and burst in a window by this fraction and this number of requests. */
const OVERSHOOT = 0.1;
const EXTRA_REQUESTS = 20;
/** Until a host that doesn't answer is reported, in milliseconds, and the longest further time until a host knows it. */
const DETECTION_MS = 1_700;
const DETECTION_SPREAD_MS = 500;
/** Until a host that reaches no other one knows it, in milliseconds. */
const ISOLATION_MS = 2_500;
/** Longest time until a change of the view reaches a host, in milliseconds. */
const VIEW_SPREAD_MS = 400;
/** How long a stopping process still serves, and until it has started again, in milliseconds. */
const STOPPING_MS = 1_000;
const RESTART_MS = 1_000;
const DAY_MS = 24_000;
const PLAYS = 40;

type Trouble =
    | { readonly kind: "restart"; readonly at: number; readonly host: number; readonly isPlanned: boolean; }
    | { readonly kind: "cut"; readonly at: number; readonly hosts: readonly number[]; readonly forMs: number; };

const time = fc.integer({ min: 0, max: DAY_MS - 6_000 });
const trouble: fc.Arbitrary<Trouble> = fc.oneof(
    fc.record({
        kind: fc.constant("restart" as const),
        at: time,
        host: fc.nat(HOSTS - 1),
        isPlanned: fc.boolean(),
    }),
    fc.record({
        kind: fc.constant("cut" as const),
        at: time,
        hosts: fc.uniqueArray(fc.nat(HOSTS - 1), { minLength: 1, maxLength: 4 }),
        forMs: fc.integer({ min: 1_000, max: 8_000 }),
    }),
);

interface Host {
    index: number;
    incarnation: number;
    member: Member;
    membership: RegisteredMembership;
    limiter: OwnedRateLimiter;
    readonly unreachable: Set<string>;
    isIsolated: boolean;
    isRunning: boolean;
}

/** Entry hosts with a limiter each, whose views and knowledge of one another lag behind. */
class Fleet {
    readonly clock = new FakeClock();
    readonly network = new FakeNetwork(this.clock);
    readonly sends: number[] = [];
    readonly hosts: Host[];
    asked = 0;
    readonly #account: Account;
    readonly #random: SeededRandom;
    #members: Member[] = [];
    #cuts: ReadonlySet<number>[] = [];

    constructor(seed: number, account = ACCOUNT, hosts = HOSTS) {
        this.#account = account;
        this.#random = new SeededRandom(seed);
        this.#members = Array.from({ length: hosts }, (_, index) => createMember(index));
        this.hosts = this.#members.map((_, index) => this.#startHost(index, 1));
    }

    async run(troubles: readonly Trouble[], load: number, dayMs = DAY_MS): Promise<void> {
        const { rate, burst } = this.#account;
        await this.clock.run(burst / rate * 1_000);
        troubles.forEach(each => this.clock.schedule(each.at, () => this.#start(each)));
        const end = this.clock.getTime() + dayMs;
        while (this.clock.getTime() < end) {
            void this.#send(this.hosts[Math.floor(this.#random.getNext() * this.hosts.length)]!);
            await this.clock.run(-Math.log(1 - this.#random.getNext()) * 1_000 / (load * rate));
        }
        await this.clock.run(1_000);
    }

    getMostInWindow(): number {
        const times = [...this.sends].sort((left, right) => left - right);
        return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + WINDOW_MS).length));
    }

    async #send({ limiter, isRunning }: Host): Promise<void> {
        if (!isRunning) {
            return;
        }
        this.asked++;
        const decision = await limiter.admit(this.#account, { fingerprint: "f", maxWaitMs: 300 });
        if (decision.isAdmitted) {
            this.sends.push(this.clock.getTime() + (decision.waitMs ?? 0));
        }
    }

    #startHost(index: number, incarnation: number): Host {
        const member = createMember(index, String(incarnation));
        const handlers = new PeerHandlers();
        const host = { index, incarnation, member, unreachable: new Set<string>(), isIsolated: false, isRunning: true };
        const membership = new RegisteredMembership(member, {
            isUnreachable: id => host.unreachable.has(id),
            isIsolated: () => host.isIsolated,
        });
        this.network.addHost(member.peerAddress, { handlers });
        const limiter = new OwnedRateLimiter({
            clock: this.clock,
            membership,
            transport: this.network.createTransport(member.peerAddress),
            handlers,
            decisionLog: new DecisionHistory(this.clock),
            getConfiguration: () => ({ getAccount: () => this.#account }) as unknown as Configuration,
        });
        membership.applyMembers(this.#members);
        return Object.assign(host, { membership, limiter });
    }

    #start(each: Trouble): void {
        switch (each.kind) {
            case "restart":
                return this.#startAgain(each.host, each.isPlanned);
            case "cut":
                return this.#closeLinks(new Set(each.hosts), each.forMs);
        }
    }

    #startAgain(index: number, isPlanned: boolean): void {
        const host = this.hosts[index]!;
        if (!host.isRunning) {
            return;
        }
        if (isPlanned) {
            this.#publish(this.#members.filter(({ id }) => id !== host.member.id));
        }
        this.clock.schedule(isPlanned ? STOPPING_MS : 0, () => {
            if (!host.isRunning) {
                return;
            }
            host.isRunning = false;
            this.network.removeHost(host.member.peerAddress);
            this.clock.schedule(RESTART_MS, () => {
                const member = createMember(index, String(host.incarnation + 1));
                this.#members = [...this.#members.filter(({ id }) => id !== member.id), member];
                this.hosts[index] = this.#startHost(index, host.incarnation + 1);
                this.#applyCuts();
                this.#publish(this.#members);
            });
        });
    }

    #publish(members: Member[]): void {
        this.#members = members;
        for (const { membership } of this.hosts) {
            this.clock.schedule(this.#random.getNext() * VIEW_SPREAD_MS, () => membership.applyMembers(this.#members));
        }
    }

    #closeLinks(hosts: ReadonlySet<number>, forMs: number): void {
        this.#cuts.push(hosts);
        this.#applyCuts();
        this.clock.schedule(forMs, () => {
            this.#cuts = this.#cuts.filter(each => each !== hosts);
            this.#applyCuts();
        });
    }

    /** Opens and closes the links; each host learns after a while whom it reaches. */
    #applyCuts(): void {
        for (const from of this.hosts) {
            for (const to of this.hosts.filter(other => other !== from)) {
                const isCut = this.#isCut(from.index, to.index);
                const { peerAddress } = from.member;
                if (isCut) {
                    this.network.closeDirection(peerAddress, to.member.peerAddress);
                }
                else {
                    this.network.openDirection(peerAddress, to.member.peerAddress);
                }
                if (isCut && this.#isUnknown(from.index, to.index)) {
                    continue;
                }
                const delay = isCut ? DETECTION_MS + this.#random.getNext() * DETECTION_SPREAD_MS : DETECTION_SPREAD_MS;
                this.clock.schedule(delay, () => {
                    if (this.#isCut(from.index, to.index) === isCut) {
                        from.unreachable[isCut ? "add" : "delete"](to.member.id);
                    }
                });
            }
            const checkIsolated = (): void => {
                from.isIsolated = this.hosts.every(to => to.index === from.index || this.#isCut(from.index, to.index));
            };
            this.clock.schedule(ISOLATION_MS, checkIsolated);
        }
    }

    /** A host of a small group looks after few others, and hears of the rest only from hosts out of its reach. */
    #isUnknown(from: number, to: number): boolean {
        const isInSmallGroup = this.#cuts.some(cut =>
            cut.has(from) && !cut.has(to) && 2 * cut.size < this.hosts.length
        );
        return isInSmallGroup && (from + to) % KNOWN_SHARE !== 0;
    }

    #isCut(from: number, to: number): boolean {
        return this.#cuts.some(cut => cut.has(from) !== cut.has(to));
    }
}

/** Gets the most requests of an account that the platform lets run in a window. */
function getMostAllowed({ rate, burst }: Account): number {
    return (rate * WINDOW_MS / 1_000 + burst) * (1 + OVERSHOOT) + EXTRA_REQUESTS;
}

/** Creates a cut between a number of hosts, drawn anew for each seed, and all others. */
function createCut(seed: number, count: number, at: number, forMs: number): Trouble {
    const random = new SeededRandom(seed);
    const hosts = Array.from({ length: LARGE_FLEET }, (_, host) => ({ host, order: random.getNext() }))
        .sort((left, right) => left.order - right.order).slice(0, count);
    return { kind: "cut", at, hosts: hosts.map(({ host }) => host), forMs };
}

function createRoll(hosts: readonly number[], at: number, gapMs: number): Trouble[] {
    return hosts.map((host, index) => ({ kind: "restart", at: at + gapMs * index, host, isPlanned: true }));
}

function getOwnerIndexes(fleet: Fleet, { name }: Account): number[] {
    return fleet.hosts[0]!.membership.getAccountHosts(name).map(({ id }) => Number(id.replace("host-", "")));
}

// Guards against QUOTA beside two rolling restarts (review/1).
test("a host that is an owner once more spends no token that others have granted in the meantime", async () => {
    const fleet = new Fleet(3, LARGE_ACCOUNT);
    const owners = getOwnerIndexes(fleet, LARGE_ACCOUNT);
    await fleet.run([...createRoll(owners, 0, 1_300), ...createRoll(owners, 10_000, 1_300)], 2.25);
    const most = fleet.getMostInWindow();
    assert.ok(most <= getMostAllowed(LARGE_ACCOUNT), `${most} in a window, ${getMostAllowed(LARGE_ACCOUNT)} allowed`);
});

// Guards against QUOTA beside cut-off hosts (review/2).
test("an account far above its rate stays within the tolerance through restarts, kills and cuts", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(trouble, { minLength: 1, maxLength: 6 }), fc.nat(), async (troubles, seed) => {
            const fleet = new Fleet(seed);
            await fleet.run(troubles, 4);
            const most = fleet.getMostInWindow();
            assert.ok(most <= getMostAllowed(ACCOUNT), `${most} in a window, ${getMostAllowed(ACCOUNT)} allowed`);
        }),
        { seed: 34, numRuns: PLAYS },
    );
});

// Guards against QUOTA beside two cuts of other hosts in succession (kelom-gate, 426 run in 5 s of 403 allowed).
test("an account far above its rate stays within the tolerance through cuts of other hosts in succession", async () => {
    const allowed = getMostAllowed(HOT_ACCOUNT);
    for (let seed = 1; seed <= 6; seed++) {
        for (const load of [2, 7.5]) {
            const fleet = new Fleet(seed, HOT_ACCOUNT, LARGE_FLEET);
            const cuts = [300, 3_500, 7_000].map((at, index) =>
                createCut(10 * seed + index, LARGE_FLEET / 4, at, 2_500 + 1_000 * index)
            );
            await fleet.run(cuts, load, SHORT_DAY_MS);
            const most = fleet.getMostInWindow();
            assert.ok(most <= allowed, `${most} in a window, ${allowed} allowed; seed ${seed}, load ${load}`);
        }
    }
});

test("an account far above its rate gets nearly all of it while its owners are restarted in turn", async () => {
    const fleet = new Fleet(1);
    const troubles = createRoll(getOwnerIndexes(fleet, ACCOUNT), 3_000, 3_000);
    await fleet.run(troubles, 4);
    const expected = ACCOUNT.burst + ACCOUNT.rate * DAY_MS / 1_000;
    assert.ok(fleet.sends.length >= 0.93 * expected, `${fleet.sends.length} of ${expected}`);
});

test("an account at a third of its rate loses nothing to planned restarts", async () => {
    const fleet = new Fleet(2);
    const troubles = createRoll([0, 3, 6], 3_000, 3_000);
    await fleet.run(troubles, 0.33);
    assert.ok(fleet.sends.length >= 0.97 * fleet.asked, `${fleet.sends.length} of ${fleet.asked}`);
});

test.run();
