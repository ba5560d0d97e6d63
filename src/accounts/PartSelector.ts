import { getServiceParts } from "../configuration/index.js";
import type { Service, ServicePart } from "../configuration/index.js";
import type { RandomSource } from "../random/index.js";
import type { PartLoadReport } from "../services/index.js";
import type { Clock } from "../time/index.js";
import type { PartLoad } from "./PartLoad.js";
import type { PartSelectOptions } from "./PartSelectOptions.js";
import type { PartSelectorOptions } from "./PartSelectorOptions.js";

const LOAD_LIFETIME_MS = 2_000;
const MIN_FREE_SHARE_OF_OWN_ZONE = 0.25;
/** A large answer is worth a longer queue at home, as each byte between zones is paid for. */
const MIN_FREE_SHARE_OF_OWN_ZONE_FOR_LARGE_ANSWERS = 0.01;
const FULL_PART_WEIGHT = 0.01;

/** Chooses the part of a service that runs a request, by capacity and the load that was reported last. */
export class PartSelector {
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #ownZone: string;
    readonly #loads = new Map<string, PartLoad>();

    /** @param options - Clock, random numbers and this host's zone. */
    constructor(options: PartSelectorOptions) {
        this.#clock = options.clock;
        this.#random = options.random;
        this.#ownZone = options.ownZone;
    }

    /**
     * Selects a part, one of the own zone while that has free slots; undefined if none is left.
     * @param service - The service.
     * @param excluded - Keys of the parts that can't run this request.
     * @param options - What matters of the request.
     */
    select(
        service: Service,
        excluded: ReadonlySet<string>,
        { hasLargeAnswer: isLarge = false, isAnyZoneAllowed: isAnyZone = false }: PartSelectOptions = {},
    ): ServicePart | undefined {
        const parts = getServiceParts(service).filter(part => part.slots > 0 && !excluded.has(part.key));
        const own = parts.filter(part => part.zone === this.#ownZone);
        const free = own.reduce((sum, part) => sum + this.#getFreeSlots(service.name, part), 0);
        const slots = own.reduce((sum, part) => sum + part.slots, 0);
        const minShare = isLarge ? MIN_FREE_SHARE_OF_OWN_ZONE_FOR_LARGE_ANSWERS : MIN_FREE_SHARE_OF_OWN_ZONE;
        const isOwnZoneFree = !isAnyZone && own.length > 0 && free >= slots * minShare;
        return this.#selectByWeight(isOwnZoneFree ? own : parts, part => this.#getWeight(service.name, part));
    }

    /**
     * Records that an attempt was sent to a part.
     * @param service - The service's name.
     * @param partKey - The part's key.
     */
    recordSent(service: string, partKey: string): void {
        const load = this.#loads.get(`${service}/${partKey}`);
        if (load !== undefined) {
            load.sentSinceReport++;
        }
    }

    /**
     * Records the load that a service host reported, unless a later one is known.
     * @param service - The service's name.
     * @param report - The part's load.
     */
    recordLoad(service: string, { part, freeSlots, queued, ageMs }: PartLoadReport): void {
        const key = `${service}/${part}`;
        const time = this.#clock.getTime() - ageMs;
        const known = this.#loads.get(key);
        if (known === undefined || known.time < time || ageMs === 0) {
            this.#loads.set(key, { freeSlots, queued, time, sentSinceReport: 0 });
        }
    }

    #getFreeSlots(service: string, { key, slots }: ServicePart): number {
        const load = this.#loads.get(`${service}/${key}`);
        if (load === undefined || this.#clock.getTime() - load.time > LOAD_LIFETIME_MS) {
            return slots;
        }
        return load.freeSlots - load.queued - load.sentSinceReport;
    }

    #getWeight(service: string, part: ServicePart): number {
        const free = this.#getFreeSlots(service, part);
        return free > 0 ? free : FULL_PART_WEIGHT * part.slots / (1 - free);
    }

    #selectByWeight(
        parts: readonly ServicePart[],
        getWeight: (part: ServicePart) => number,
    ): ServicePart | undefined {
        if (parts.length <= 1) {
            return parts[0];
        }
        const weights = parts.map(getWeight);
        let rest = this.#random.getNext() * weights.reduce((sum, weight) => sum + weight, 0);
        for (const [index, part] of parts.entries()) {
            rest -= weights[index] ?? 0;
            if (rest < 0) {
                return part;
            }
        }
        return parts.at(-1);
    }
}
