import type { KeylessOrders } from "./KeylessOrders.js";
import type { RouteAccess } from "./RouteAccess.js";
import type { RouteKind } from "./RouteKind.js";

/** A route from a path to a service. */
export interface Route {
    readonly name: string;
    /** Path prefix of whole segments, for example "/orders". */
    readonly path: string;
    readonly methods: readonly string[];
    readonly service: string;
    readonly kind: RouteKind;
    readonly access: RouteAccess;
    /** The accounts that may use it; all if undefined. */
    readonly accounts?: readonly string[];
    readonly keylessOrders?: KeylessOrders;
    /** Time from acceptance to the first byte of the answer, in milliseconds. */
    readonly deadlineMs: number;
    readonly maxBodyBytes: number;
}
