import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { DispatchBench } from "./DispatchBench.js";
import type { FloorDisturbance } from "./FloorDisturbance.js";

const HOSTS = 93;
const UPSTREAMS_A_ZONE = 24;
const ORDERS_PER_SECOND = 180;
const SERVICE_TIME_MS = 470;
const MAX_ATTEMPTS = 2;
const FIRST_FAILURE_STATUS = 500;
/** Each upstream draws anew every nine seconds whether it is in a spell of failures; three in ten are. */
const SPELL_MS = 9_000;
const SPELL_SHARE = 0.3;
const IN_SPELL = { errorRate: 0.9, slowFactor: 0.002 };
/** Time for the last orders to end, in milliseconds. */
const END_MS = 6_000;

/** The platform's rule holds only while a tenth to a half is not served; here it is asked for in each window. */
const FLOOR_SHARE = 0.7;
const WINDOW_MS = 2_000;
const STEP_MS = 250;
/** An upstream is sound again this long after a failure of its own, in milliseconds. */
const OWN_FAILURE_MS = 2_000;

interface SentOrder {
    readonly time: number;
    isServed: boolean;
}

interface Spell {
    readonly upstream: string;
    readonly start: number;
}

/** The orders of a grown deployment while upstreams fail in spells and something else is wrong, and the platform's floor. */
export class FloorLoad {
    readonly #bench: DispatchBench;
    readonly #random: SeededRandom;
    readonly #disturbance: FloorDisturbance;
    readonly #disturbedUpstreams: ReadonlySet<string>;
    readonly #disturbedHosts: ReadonlySet<number>;
    readonly #spells: Spell[] = [];
    readonly #orders: SentOrder[] = [];

    /**
     * @param seed - Draws the spells, what is disturbed and where orders arrive.
     * @param disturbance - What is wrong beside the spells.
     */
    constructor(seed: number, disturbance: FloorDisturbance) {
        this.#random = new SeededRandom(seed);
        this.#disturbance = disturbance;
        this.#bench = new DispatchBench({
            hosts: HOSTS,
            upstreamsAZone: UPSTREAMS_A_ZONE,
            serviceTimeMs: SERVICE_TIME_MS,
            service: { name: `orders-${seed}`, floor: FLOOR_SHARE },
            isCut: (host, upstream) => this.#isCut(host, upstream),
        });
        const names = this.#bench.service.upstreams.map(({ name }) => name);
        this.#disturbedHosts = new Set(this.#select([...this.#bench.hosts.keys()], disturbance.hosts));
        this.#disturbedUpstreams = new Set(this.#select(names, disturbance.upstreams));
        names.forEach(name => this.#startSpells(name, this.#random.getNext() * SPELL_MS));
        this.#startDisturbance();
    }

    /** Sends orders until the disturbance ends, and lets them end. */
    async run(): Promise<void> {
        const { clock } = this.#bench;
        while (clock.getTime() < this.#disturbance.end) {
            this.#sendOrder();
            await clock.run(1_000 / ORDERS_PER_SECOND);
        }
        await clock.run(END_MS);
    }

    /** Finds the windows of the disturbance in which too few sound upstreams have a request. */
    findBreaches(): readonly string[] {
        const breaches: string[] = [];
        const { start, end } = this.#disturbance;
        for (let from = start; from <= end - WINDOW_MS; from += STEP_MS) {
            const to = from + WINDOW_MS;
            const isInWindow = ({ time }: { readonly time: number; }): boolean => time >= from && time < to;
            const orders = this.#orders.filter(isInWindow);
            const unserved = orders.filter(order => !order.isServed).length / orders.length;
            const used = new Set(this.#bench.upstreams.records.filter(isInWindow).map(record => record.upstream));
            const sound = this.#findSound(from, to);
            const inUse = sound.filter(name => used.has(name)).length;
            if (inUse < FLOOR_SHARE * sound.length) {
                breaches.push(`${from} ms: ${inUse} of ${sound.length} in use, ${unserved.toFixed(2)} not served`);
            }
        }
        return breaches;
    }

    #sendOrder(): void {
        const order: SentOrder = { time: this.#bench.clock.getTime(), isServed: false };
        this.#orders.push(order);
        if (this.#isDisturbing() && this.#random.getNext() < this.#disturbance.refused) {
            return;
        }
        const host = Math.floor(this.#random.getNext() * HOSTS);
        void this.#bench.run(host, MAX_ATTEMPTS, false).then(outcome => order.isServed = isServed(outcome));
    }

    #findSound(from: number, to: number): readonly string[] {
        return this.#bench.service.upstreams.map(({ name }) => name).filter(name =>
            !this.#disturbedUpstreams.has(name) &&
            !this.#spells.some(({ upstream, start }) =>
                upstream === name && start < to && start + SPELL_MS + OWN_FAILURE_MS > from
            )
        );
    }

    #isCut(host: number, upstream: string): boolean {
        return this.#isDisturbing() && this.#disturbedHosts.has(host) && this.#disturbedUpstreams.has(upstream);
    }

    #isDisturbing(): boolean {
        const now = this.#bench.clock.getTime();
        return now >= this.#disturbance.start && now < this.#disturbance.end;
    }

    #startDisturbance(): void {
        const { clock, hosts, network } = this.#bench;
        const { start, end, areHostsSilent } = this.#disturbance;
        if (areHostsSilent) {
            const addresses = [...this.#disturbedHosts].map(index => hosts[index]!.membership.getSelf().peerAddress);
            clock.schedule(start, () => addresses.forEach(address => network.stopAnswers(address)));
            clock.schedule(end, () => addresses.forEach(address => network.startAnswers(address)));
        }
    }

    #startSpells(upstream: string, delayMs: number): void {
        const { clock, upstreams } = this.#bench;
        clock.schedule(delayMs, () => {
            const isInSpell = this.#random.getNext() < SPELL_SHARE;
            if (isInSpell) {
                this.#spells.push({ upstream, start: clock.getTime() });
            }
            upstreams.applyFaults(upstream, isInSpell ? IN_SPELL : {});
            this.#startSpells(upstream, SPELL_MS);
        });
    }

    #select<T>(items: readonly T[], share: number): readonly T[] {
        return items.filter(() => this.#random.getNext() < share);
    }
}

function isServed(outcome: Outcome): boolean {
    return outcome.kind === OutcomeKind.Done && outcome.status < FIRST_FAILURE_STATUS;
}
