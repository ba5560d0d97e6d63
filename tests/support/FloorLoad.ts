import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { DispatchBench } from "./DispatchBench.js";
import type { FloorFault } from "./FloorFault.js";

const HOSTS = 93;
const UPSTREAMS_PER_ZONE = 24;
const ORDERS_PER_SECOND = 180;
const SERVICE_TIME_MS = 470;
const MAX_ATTEMPTS = 2;
const FIRST_FAILURE_STATUS = 500;
/** Each upstream draws at random at the start of each period whether it fails during it; length in milliseconds. */
const PERIOD_MS = 9_000;
/** Share of the periods in which an upstream fails, from 0 to 1. */
const FAULTY_SHARE = 0.3;
const PERIOD_FAULTS = { errorRate: 0.9, slowFactor: 0.002 };
/** Time for the last orders to end, in milliseconds. */
const END_MS = 6_000;

/** The platform requires its floor only while a tenth to a half of the requests is not served; this load checks it in every window. */
const FLOOR_SHARE = 0.7;
const WINDOW_MS = 2_000;
const STEP_MS = 250;
/** Time after a failure of its own until an upstream counts as healthy again, in milliseconds. */
const OWN_FAILURE_MS = 2_000;

interface SentOrder {
    readonly time: number;
    isServed: boolean;
}

/** A period in which an upstream fails. */
interface FaultPeriod {
    readonly upstream: string;
    readonly start: number;
}

/** Sends the orders of a large deployment during failures, and checks which share of the healthy upstreams is in use. */
export class FloorLoad {
    readonly #bench: DispatchBench;
    readonly #random: SeededRandom;
    readonly #fault: FloorFault;
    readonly #faultyUpstreams: ReadonlySet<string>;
    readonly #faultyHosts: ReadonlySet<number>;
    readonly #faultPeriods: FaultPeriod[] = [];
    readonly #orders: SentOrder[] = [];

    /**
     * @param seed - Seed of the periods of failures, of the faulty parts and of the hosts that orders arrive at.
     * @param fault - The fault beside the periods of failures.
     */
    constructor(seed: number, fault: FloorFault) {
        this.#random = new SeededRandom(seed);
        this.#fault = fault;
        this.#bench = new DispatchBench({
            hosts: HOSTS,
            upstreamsPerZone: UPSTREAMS_PER_ZONE,
            serviceTimeMs: SERVICE_TIME_MS,
            service: { name: `orders-${seed}`, floor: FLOOR_SHARE },
            isCut: (host, upstream) => this.#isCut(host, upstream),
        });
        const names = this.#bench.service.upstreams.map(({ name }) => name);
        this.#faultyHosts = new Set(this.#select([...this.#bench.hosts.keys()], fault.hosts));
        this.#faultyUpstreams = new Set(this.#select(names, fault.upstreams));
        names.forEach(name => this.#startPeriods(name, this.#random.getNext() * PERIOD_MS));
        this.#startFault();
    }

    /** Sends orders until the fault ends, and waits until they have ended. */
    async run(): Promise<void> {
        const { clock } = this.#bench;
        while (clock.getTime() < this.#fault.end) {
            this.#sendOrder();
            await clock.run(1_000 / ORDERS_PER_SECOND);
        }
        await clock.run(END_MS);
    }

    /** Finds the windows of the fault in which too few healthy upstreams get a request. */
    findBreaches(): readonly string[] {
        const breaches: string[] = [];
        const { start, end } = this.#fault;
        for (let from = start; from <= end - WINDOW_MS; from += STEP_MS) {
            const to = from + WINDOW_MS;
            const isInWindow = ({ time }: { readonly time: number; }): boolean => time >= from && time < to;
            const orders = this.#orders.filter(isInWindow);
            const unserved = orders.filter(order => !order.isServed).length / orders.length;
            const used = new Set(this.#bench.upstreams.records.filter(isInWindow).map(record => record.upstream));
            const healthy = this.#findHealthy(from, to);
            const inUse = healthy.filter(name => used.has(name)).length;
            if (inUse < FLOOR_SHARE * healthy.length) {
                breaches.push(`${from} ms: ${inUse} of ${healthy.length} in use, ${unserved.toFixed(2)} not served`);
            }
        }
        return breaches;
    }

    #sendOrder(): void {
        const order: SentOrder = { time: this.#bench.clock.getTime(), isServed: false };
        this.#orders.push(order);
        if (this.#isFaultActive() && this.#random.getNext() < this.#fault.refused) {
            return;
        }
        const host = Math.floor(this.#random.getNext() * HOSTS);
        void this.#bench.run(host, MAX_ATTEMPTS, false).then(outcome => order.isServed = isServed(outcome));
    }

    #findHealthy(from: number, to: number): readonly string[] {
        return this.#bench.service.upstreams.map(({ name }) => name).filter(name =>
            !this.#faultyUpstreams.has(name) &&
            !this.#faultPeriods.some(({ upstream, start }) =>
                upstream === name && start < to && start + PERIOD_MS + OWN_FAILURE_MS > from
            )
        );
    }

    #isCut(host: number, upstream: string): boolean {
        return this.#isFaultActive() && this.#faultyHosts.has(host) && this.#faultyUpstreams.has(upstream);
    }

    #isFaultActive(): boolean {
        const now = this.#bench.clock.getTime();
        return now >= this.#fault.start && now < this.#fault.end;
    }

    #startFault(): void {
        const { clock, hosts, network } = this.#bench;
        const { start, end, areHostsSilent } = this.#fault;
        if (areHostsSilent) {
            const addresses = [...this.#faultyHosts].map(index => hosts[index]!.membership.getSelf().peerAddress);
            clock.schedule(start, () => addresses.forEach(address => network.stopAnswers(address)));
            clock.schedule(end, () => addresses.forEach(address => network.startAnswers(address)));
        }
    }

    #startPeriods(upstream: string, delayMs: number): void {
        const { clock, upstreams } = this.#bench;
        clock.schedule(delayMs, () => {
            const isFaulty = this.#random.getNext() < FAULTY_SHARE;
            if (isFaulty) {
                this.#faultPeriods.push({ upstream, start: clock.getTime() });
            }
            upstreams.applyFaults(upstream, isFaulty ? PERIOD_FAULTS : {});
            this.#startPeriods(upstream, PERIOD_MS);
        });
    }

    #select<T>(items: readonly T[], share: number): readonly T[] {
        return items.filter(() => this.#random.getNext() < share);
    }
}

function isServed(outcome: Outcome): boolean {
    return outcome.kind === OutcomeKind.Done && outcome.status < FIRST_FAILURE_STATUS;
}
