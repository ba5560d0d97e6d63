import type { Route } from "../configuration/index.js";
import type { RandomSource } from "../random/index.js";

/**
 * Selects the service for a request, at random by weight if the route splits its traffic.
 * @param route - The route.
 * @param random - The source of random numbers.
 */
export function selectService(route: Route, random: RandomSource): string {
    const shares = route.split ?? [];
    let remaining = random.getNext() * shares.reduce((sum, share) => sum + share.weight, 0);
    for (const share of shares) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return shares.at(-1)?.service ?? route.service;
}
