/** A service's share of a route's requests. */
export interface ServiceShare {
    readonly service: string;
    /** The weight relative to the other services of the route. */
    readonly weight: number;
}
