import { UnexpectedVariantError } from "../errors/index.js";
import type { RandomSource } from "../random/index.js";
import { ServiceTimeKind } from "./ServiceTimeKind.js";
import type { UpstreamStandInSettings } from "./UpstreamStandInSettings.js";

/**
 * Gets the next time of a distribution, in milliseconds.
 * @param distribution - The distribution.
 * @param random - The source of random numbers.
 */
export function getServiceTime(distribution: UpstreamStandInSettings["serviceTime"], random: RandomSource): number {
    switch (distribution.kind) {
        case ServiceTimeKind.Fixed:
            return distribution.ms;
        case ServiceTimeKind.Exponential:
            return -distribution.ms * Math.log(1 - random.getNext());
        case ServiceTimeKind.LogNormal:
            return distribution.medianMs * Math.exp(distribution.sigma * getNormal(random));
        default:
            throw new UnexpectedVariantError(distribution);
    }
}

function getNormal(random: RandomSource): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.getNext()));
    return radius * Math.cos(2 * Math.PI * random.getNext());
}
