import { getServiceParts } from "../../configuration/index.js";
import type { Service, ServicePart } from "../../configuration/index.js";
import type { RandomSource } from "../../random/index.js";
import type { PartLoadReport } from "../../services/index.js";
import type { Clock } from "../../time/index.js";
import type { PartEstimate } from "./PartEstimate.js";
import { PartEstimator } from "./PartEstimator.js";
import type { PartSelectOptions } from "./PartSelectOptions.js";
import type { PartSelectorOptions } from "./PartSelectorOptions.js";
import { ZoneSelector } from "./ZoneSelector.js";

/** Half of the interval at which service hosts tell each other their load, in milliseconds. */
const LOADS_INTERVAL_MS = 500;
const FULL_PART_WEIGHT = 0.01;

/** Selects the part of a service that runs a request, by its slots and its last reported load. */
export class PartSelector {
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #estimator: PartEstimator;
    readonly #loadTimes = new Map<string, number>();
    readonly #zones: ZoneSelector;

    /** @param options - Clock, random source and this host's zone. */
    constructor({ clock, random, ownZone }: PartSelectorOptions) {
        this.#clock = clock;
        this.#random = random;
        this.#estimator = new PartEstimator(clock);
        this.#zones = new ZoneSelector(random, ownZone);
    }

    /**
     * Selects a part at random, weighted by free slots, from the zones that serve the request in time; undefined if none is left.
     * @param service - The service.
     * @param excluded - Keys of the parts to skip.
     * @param options - Properties of the request.
     */
    select(
        service: Service,
        excluded: ReadonlySet<string>,
        { slackMs, isLarge = false, isAnyZoneAllowed: isAnyZone = false }: PartSelectOptions,
    ): ServicePart | undefined {
        const parts = getServiceParts(service).filter(part => part.slots > 0 && !excluded.has(part.key));
        const estimates = parts.map(part => this.#estimator.createEstimate(service, part));
        return this.#selectByWeight(isAnyZone ? estimates : this.#zones.select(estimates, slackMs, isLarge))?.part;
    }

    /**
     * Records that an attempt was sent to a part.
     * @param service - The service's name.
     * @param partKey - The part's key.
     */
    recordSent(service: string, partKey: string): void {
        this.#estimator.recordSent(service, partKey);
    }

    /**
     * Records the load that a service host reported, unless a newer report is known.
     * @param service - The service's name.
     * @param report - The part's load.
     */
    recordLoad(service: string, report: PartLoadReport): void {
        this.#estimator.recordLoad(service, report);
    }

    /**
     * Records that an answer had the loads of a service's parts.
     * @param service - The service's name.
     */
    recordLoads(service: string): void {
        this.#loadTimes.set(service, this.#clock.getTime());
    }

    /**
     * Whether a recent answer had the loads of a service's parts, so that they have hardly changed since.
     * @param service - The service's name.
     */
    hasRecentLoads(service: string): boolean {
        return this.#clock.getTime() - (this.#loadTimes.get(service) ?? Number.NEGATIVE_INFINITY) < LOADS_INTERVAL_MS;
    }

    #selectByWeight(estimates: readonly PartEstimate[]): PartEstimate | undefined {
        if (estimates.length <= 1) {
            return estimates[0];
        }
        const weights = estimates.map(getWeight);
        let rest = this.#random.getNext() * weights.reduce((sum, weight) => sum + weight, 0);
        for (const [index, estimate] of estimates.entries()) {
            rest -= weights[index] ?? 0;
            if (rest < 0) {
                return estimate;
            }
        }
        return estimates.at(-1);
    }
}

/** Upstreams that fail at once have free slots, which are worth only what they serve. */
function getWeight({ part, freeSlots, servedShare }: PartEstimate): number {
    return servedShare * (freeSlots > 0 ? freeSlots : FULL_PART_WEIGHT * part.slots / (1 - freeSlots));
}
