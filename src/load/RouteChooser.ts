import type { RandomSource } from "../random/index.js";
import type { EntryAddress } from "./EntryAddress.js";
import type { OrderRoute } from "./OrderRoute.js";

/** Chooses the address of each attempt, and keeps an order's key once the order may have been received under it. */
export class RouteChooser {
    readonly #random: RandomSource;
    readonly #reference: string;
    readonly #avoided = new Set<string>();
    #route: OrderRoute | undefined;
    #isKeyFixed: boolean;
    #keys = 0;

    /**
     * @param random - The source of random numbers.
     * @param reference - What the caller calls the request.
     * @param route - The route of the order that is repeated, if any.
     */
    constructor(random: RandomSource, reference: string, route?: OrderRoute) {
        this.#random = random;
        this.#reference = reference;
        this.#route = route;
        this.#isKeyFixed = route !== undefined;
    }

    /** Gets the route chosen last. */
    getRoute(): OrderRoute | undefined {
        return this.#route;
    }

    /**
     * Selects the next attempt's route: the key's own host while it can be reached, else any other.
     * @param addresses - The addresses that the system named; at least one.
     */
    select(addresses: readonly EntryAddress[]): OrderRoute {
        const route = this.#route;
        if (route !== undefined && this.#isKeyFixed) {
            const isAvoided = this.#avoided.has(route.address.url);
            return isAvoided ? { address: this.#selectAddress(addresses), key: route.key } : route;
        }
        const address = this.#selectAddress(addresses);
        this.#route = { address, key: `${address.keyPrefix}.${this.#reference}-${this.#keys++}` };
        return this.#route;
    }

    /** Records that an attempt may have been received, so that its key stays the order's key. */
    recordSent(): void {
        this.#isKeyFixed = true;
    }

    /**
     * Records that an address is of no use, because no connection could be opened or its host doesn't serve.
     * @param address - The address.
     */
    recordUseless(address: EntryAddress): void {
        this.#avoided.add(address.url);
    }

    #selectAddress(addresses: readonly EntryAddress[]): EntryAddress {
        const usable = addresses.filter(address => !this.#avoided.has(address.url));
        if (usable.length === 0) {
            this.#avoided.clear();
        }
        const candidates = usable.length === 0 ? addresses : usable;
        return candidates[Math.floor(this.#random.getNext() * candidates.length)]!;
    }
}
