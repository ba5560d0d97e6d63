/** A service's share of a route's requests. */
export interface ServiceShare {
    readonly service: string;
    /** Relative to the other shares of the route. */
    readonly weight: number;
}
