import type { Route } from "../configuration/index.js";
import type { RandomSource } from "../random/index.js";

/**
 * Selects the service for one request of a route, by the weights if several share it.
 * @param route - The route.
 * @param random - The source of the choice.
 */
export function selectService(route: Route, random: RandomSource): string {
    const shares = route.split ?? [];
    let rest = random.getNext() * shares.reduce((sum, share) => sum + share.weight, 0);
    for (const share of shares) {
        rest -= share.weight;
        if (rest < 0) {
            return share.service;
        }
    }
    return shares.at(-1)?.service ?? route.service;
}
