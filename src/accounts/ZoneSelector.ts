import type { Service } from "../configuration/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { ZoneLoad } from "./ZoneLoad.js";
import type { ZoneSelectorOptions } from "./ZoneSelectorOptions.js";

const LOAD_LIFETIME_MS = 2_000;
const MIN_FREE_SHARE_OF_OWN_ZONE = 0.25;
/** A large answer is worth a longer queue at home, as each byte between zones is paid for. */
const MIN_FREE_SHARE_FOR_LARGE_ANSWERS = 0.01;
const MIN_WEIGHT = 0.01;

/** Chooses the availability zone that runs a request, by capacity and the load that was reported last. */
export class ZoneSelector {
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #ownZone: string;
    readonly #loads = new Map<string, ZoneLoad>();

    /** @param options - Clock, random numbers and this host's zone. */
    constructor(options: ZoneSelectorOptions) {
        this.#clock = options.clock;
        this.#random = options.random;
        this.#ownZone = options.ownZone;
    }

    /**
     * Selects a zone; undefined if none is left.
     * @param service - The service.
     * @param excluded - Zones that can't run this request.
     * @param isLarge - Whether the answer is large.
     */
    select(service: Service, excluded: ReadonlySet<string>, isLarge = false): string | undefined {
        const capacities = getCapacities(service);
        const zones = [...capacities.keys()].filter(zone => !excluded.has(zone));
        const ownCapacity = capacities.get(this.#ownZone);
        if (ownCapacity !== undefined && zones.includes(this.#ownZone)) {
            const free = this.#getFreeSlots(service.name, this.#ownZone, ownCapacity);
            const minShare = isLarge ? MIN_FREE_SHARE_FOR_LARGE_ANSWERS : MIN_FREE_SHARE_OF_OWN_ZONE;
            if (free >= ownCapacity * minShare) {
                return this.#ownZone;
            }
        }
        return this.#selectByWeight(zones, zone => this.#getWeight(service.name, zone, capacities.get(zone) ?? 0));
    }

    /**
     * Records that an attempt was sent to a zone.
     * @param service - The service's name.
     * @param zone - The zone.
     */
    recordSent(service: string, zone: string): void {
        const load = this.#loads.get(`${service}/${zone}`);
        if (load !== undefined) {
            load.sentSince++;
        }
    }

    /**
     * Records the load that a service host reported.
     * @param service - The service's name.
     * @param zone - The zone.
     * @param freeSlots - Its free slots.
     * @param queued - Requests that wait there.
     */
    recordLoad(service: string, zone: string, freeSlots: number, queued: number): void {
        this.#loads.set(`${service}/${zone}`, { freeSlots, queued, time: this.#clock.getTime(), sentSince: 0 });
    }

    #getFreeSlots(service: string, zone: string, capacity: number): number {
        const load = this.#loads.get(`${service}/${zone}`);
        if (load === undefined || this.#clock.getTime() - load.time > LOAD_LIFETIME_MS) {
            return capacity;
        }
        return load.freeSlots - load.queued - load.sentSince;
    }

    #getWeight(service: string, zone: string, capacity: number): number {
        const free = this.#getFreeSlots(service, zone, capacity);
        return free > 0 ? free : MIN_WEIGHT * capacity / (1 - free);
    }

    #selectByWeight(zones: readonly string[], getWeight: (zone: string) => number): string | undefined {
        const weights = zones.map(getWeight);
        let rest = this.#random.getNext() * weights.reduce((sum, weight) => sum + weight, 0);
        for (const [index, zone] of zones.entries()) {
            rest -= weights[index] ?? 0;
            if (rest < 0) {
                return zone;
            }
        }
        return zones.at(-1);
    }
}

function getCapacities(service: Service): Map<string, number> {
    const capacities = new Map<string, number>();
    for (const upstream of service.upstreams) {
        if (upstream.draining !== true) {
            capacities.set(upstream.zone, (capacities.get(upstream.zone) ?? 0) + upstream.slots);
        }
    }
    return capacities;
}
