import type { RandomSource } from "../../random/index.js";
import { createZoneEstimates } from "./createZoneEstimates.js";
import type { PartEstimate } from "./PartEstimate.js";
import type { ZoneEstimate } from "./ZoneEstimate.js";

/**
 * Share of a request's slack that it may wait in its own zone. The share of each request is drawn between the two bounds, so that
 * more requests leave the longer the wait is, rather than all at once when reports pass a threshold.
 */
const WAIT_SHARE = { min: 0.1, max: 0.5 };
/** The same for large bodies, as traffic between zones is billed by the byte. */
const WAIT_SHARE_OF_LARGE = { min: 0.5, max: 0.9 };
/** Another zone is worth the way if the wait there is at most this share of the wait in the own zone. */
const MAX_RELATIVE_WAIT = 0.5;
/** The way to another zone and back, in milliseconds: zones of a region are 1 to 10 ms apart. */
const ZONE_ROUND_TRIP_MS = 10;
/** An upstream failure costs an attempt, so a zone that serves less than this share of attempts is left like a full one. */
const MIN_SERVED_SHARE = 0.5;
/** Another zone replaces a failing one only if it serves this much more, so that a failure of all zones keeps requests in place. */
const MIN_SERVED_GAIN = 0.25;

/** Selects the zones whose parts may run a request: the own zone alone while that serves it in time, or no other is known to be better. */
export class ZoneSelector {
    readonly #random: RandomSource;
    readonly #ownZone: string;

    /**
     * @param random - The source of randomness.
     * @param ownZone - This host's zone.
     */
    constructor(random: RandomSource, ownZone: string) {
        this.#random = random;
        this.#ownZone = ownZone;
    }

    /**
     * Selects the parts that may run a request.
     * @param parts - The estimates of all parts that may be selected.
     * @param slackMs - How long the request may wait without missing its target, in milliseconds.
     * @param isLarge - Whether its body or its answer is large.
     */
    select(parts: readonly PartEstimate[], slackMs: number, isLarge: boolean): readonly PartEstimate[] {
        const zones = createZoneEstimates(parts);
        const own = zones.find(({ zone }) => zone === this.#ownZone);
        const others = zones.filter(zone => zone !== own);
        if (own === undefined || others.length === 0) {
            return parts;
        }
        const better = isFailing(own)
            ? others.filter(other =>
                other.waitMs !== undefined && other.servedShare >= own.servedShare + MIN_SERVED_GAIN
            )
            : this.#findFaster(own, others, slackMs, isLarge);
        return [own, ...better].flatMap(zone => zone.parts);
    }

    /** Finds the zones that start a request sooner. Those without reports are candidates only if the own zone can't start it at all. */
    #findFaster(
        own: ZoneEstimate,
        others: readonly ZoneEstimate[],
        slackMs: number,
        isLarge: boolean,
    ): readonly ZoneEstimate[] {
        const { waitMs } = own;
        if (waitMs === undefined || waitMs === 0 || waitMs <= this.#createWaitLimit(slackMs, isLarge)) {
            return [];
        }
        const maxWaitMs = MAX_RELATIVE_WAIT * waitMs - ZONE_ROUND_TRIP_MS;
        const faster = others.filter(other =>
            !isFailing(other) && other.waitMs !== undefined && other.waitMs <= maxWaitMs
        );
        return faster.length > 0 || waitMs < Number.POSITIVE_INFINITY
            ? faster
            : others.filter(other => other.waitMs !== Number.POSITIVE_INFINITY);
    }

    #createWaitLimit(slackMs: number, isLarge: boolean): number {
        const { min, max } = isLarge ? WAIT_SHARE_OF_LARGE : WAIT_SHARE;
        return slackMs * (min + (max - min) * this.#random.getNext());
    }
}

function isFailing({ servedShare }: ZoneEstimate): boolean {
    return servedShare < MIN_SERVED_SHARE;
}
