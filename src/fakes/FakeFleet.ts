import { StoredHeadStore } from "../head/index.js";
import type { Head, Member } from "../head/index.js";
import type { ListedHost } from "../hostlist/index.js";
import { DecisionHistory } from "../logging/index.js";
import { MembershipService } from "../membership/index.js";
import { PeerHandlers } from "../peers/index.js";
import { SeededRandom } from "../random/index.js";
import { FakeClock } from "./FakeClock.js";
import type { FakeFleetHost } from "./FakeFleetHost.js";
import { FakeHeadInstaller } from "./FakeHeadInstaller.js";
import { FakeHostClock } from "./FakeHostClock.js";
import { FakeHostStore } from "./FakeHostStore.js";
import { FakeHostTransport } from "./FakeHostTransport.js";
import { FakeNetwork } from "./FakeNetwork.js";
import { FakeStore } from "./FakeStore.js";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const BASE_PORT = 10_000;
const SEED_STEP = 7_919;
const SEED_HOSTS = 3;

/** The memberships of many hosts in one process, with faults. */
export class FakeFleet {
    readonly clock = new FakeClock();
    readonly store = new FakeStore(this.clock);
    readonly network = new FakeNetwork(this.clock);
    /** How long the platform's host list contains a host that has stopped, in milliseconds. */
    listLagMs = 5_000;
    /** Time between two pulls of a host, in milliseconds; the default if undefined. */
    pullIntervalMs: number | undefined;
    readonly #seed: number;
    readonly #hosts = new Map<number, FakeFleetHost>();
    readonly #listed = new Map<string, ListedHost>();
    #starts = 0;

    /** @param seed - Seed of all random numbers. */
    constructor(seed: number) {
        this.#seed = seed;
    }

    /**
     * Starts hosts that are not running.
     * @param indexes - Indexes of the hosts; each has its own address.
     */
    start(...indexes: number[]): void {
        for (const index of indexes) {
            this.#startHost(index);
        }
    }

    /**
     * Starts the first hosts of a fleet as members of a view that is already stored.
     * @param count - Number of hosts.
     */
    async startMembers(count: number): Promise<void> {
        const indexes = Array.from({ length: count }, (_, index) => index);
        const members = indexes.map(index => createMember(index, this.#getIncarnation(index)));
        members.sort((left, right) => left.id < right.id ? -1 : 1);
        const head: Head = { version: 1, sections: {}, view: { version: 1, members }, changes: [] };
        await this.store.compareAndSwap("head", JSON.stringify(head), 0);
        this.start(...indexes);
    }

    /**
     * Stops a host abruptly, as in a crash.
     * @param index - Index of the host.
     */
    stop(index: number): void {
        const host = this.get(index);
        const { peerAddress } = host.member;
        this.network.removeHost(peerAddress);
        host.clock.stop();
        host.store.isCut = true;
        void host.membership.stop();
        this.#hosts.delete(index);
        this.clock.schedule(this.listLagMs, () => {
            if (!this.#hosts.has(index)) {
                this.#listed.delete(peerAddress);
            }
        });
    }

    /**
     * Pauses a host's process.
     * @param index - Index of the host.
     */
    stopProcess(index: number): void {
        const host = this.get(index);
        host.clock.stop();
        host.store.isCut = true;
        this.network.stopAnswers(host.member.peerAddress);
    }

    /**
     * Resumes a paused host's process.
     * @param index - Index of the host.
     */
    startProcess(index: number): void {
        const host = this.get(index);
        host.store.isCut = false;
        this.network.startAnswers(host.member.peerAddress);
        host.clock.start();
    }

    /**
     * Cuts or restores the network direction from some hosts to others.
     * @param from - Indexes of the senders.
     * @param to - Indexes of the receivers.
     * @param isOpen - Whether messages arrive.
     */
    route(from: readonly number[], to: readonly number[], isOpen: boolean): void {
        for (const [sender, receiver] of from.flatMap(one => to.map(other => [one, other] as const))) {
            const addresses = [getAddress(sender), getAddress(receiver)] as const;
            if (isOpen) {
                this.network.openDirection(...addresses);
            }
            else if (sender !== receiver) {
                this.network.closeDirection(...addresses);
            }
        }
    }

    /**
     * Gets a running host.
     * @param index - Index of the host.
     */
    get(index: number): FakeFleetHost {
        return this.#hosts.get(index)!;
    }

    /** Gets the running hosts. */
    getAll(): readonly FakeFleetHost[] {
        return [...this.#hosts.values()];
    }

    /** Gets the indexes of the running hosts. */
    getIndexes(): readonly number[] {
        return [...this.#hosts.keys()];
    }

    /** Gets the indexes of the hosts that are current. */
    getCurrent(): readonly number[] {
        return this.getIndexes().filter(index => this.get(index).membership.isCurrent());
    }

    /**
     * Writes a change of the head from a host, as an operator's change does; returns the new version.
     * @param index - Index of the host.
     */
    async write(index: number): Promise<number> {
        const host = this.get(index);
        const head = await host.headStore.apply(
            `change-${this.#seed}-${this.#starts++}`,
            content => content,
        );
        await host.membership.applyHead(head);
        return head.version;
    }

    /**
     * Advances the clock until a condition holds or the time is over; returns whether it holds.
     * @param isMet - The condition.
     * @param timeoutMs - How long to wait, in milliseconds.
     * @param stepMs - How often to check, in milliseconds.
     */
    async wait(isMet: () => boolean, timeoutMs: number, stepMs = 50): Promise<boolean> {
        const deadline = this.clock.getTime() + timeoutMs;
        while (!isMet() && this.clock.getTime() < deadline) {
            await this.clock.run(stepMs);
        }
        return isMet();
    }

    /** Whether every running host is a current member of the same view, with no other view proposed. */
    isSettled(): boolean {
        const heads = this.getAll().map(host => host.membership.getHead());
        return this.getCurrent().length === this.#hosts.size &&
            heads.every(head =>
                head !== undefined && head.nextView === undefined && head.version === heads[0]!.version &&
                head.view.members.length === this.#hosts.size
            );
    }

    #getIncarnation(start: number): string {
        return `${this.#seed}-${start}`;
    }

    #startHost(index: number): void {
        const clock = new FakeHostClock(this.clock);
        const store = new FakeHostStore(this.store, this.clock);
        const installer = new FakeHeadInstaller();
        const handlers = new PeerHandlers();
        const member = createMember(index, this.#getIncarnation(this.#starts));
        const random = new SeededRandom(this.#seed * SEED_STEP + this.#starts++);
        const transport = new FakeHostTransport(this.network.createTransport(member.peerAddress), clock, random);
        const headStore = new StoredHeadStore({ store, clock, random });
        const membership = new MembershipService({
            clock,
            random,
            transport,
            handlers,
            headStore,
            hostList: { getHosts: async () => [...this.#listed.values()] },
            installer,
            log: new DecisionHistory(this.clock, undefined, 1),
            self: member,
            pullIntervalMs: this.pullIntervalMs,
            seedAddresses: Array.from({ length: SEED_HOSTS }, (_, seed) => getAddress(seed)),
        });
        this.#hosts.set(index, { member, membership, clock, store, headStore, transport, installer });
        this.network.addHost(member.peerAddress, { handlers });
        this.#listed.set(member.peerAddress, { address: member.peerAddress, leaving: false });
        membership.start();
    }
}

function getAddress(index: number): string {
    return `127.0.0.1:${BASE_PORT + index}`;
}

function createMember(index: number, incarnation: string): Member {
    return {
        id: `host-${index}`,
        region: "region-1",
        zone: ZONES[index % ZONES.length]!,
        peerAddress: getAddress(index),
        callerAddress: getAddress(index).replace(":1", ":2"),
        incarnation,
    };
}
