import type { KeylessOrders } from "./KeylessOrders.js";
import type { RouteAccess } from "./RouteAccess.js";
import type { RouteKind } from "./RouteKind.js";
import type { ServiceShare } from "./ServiceShare.js";

/** A route from a path to a service. */
export interface Route {
    readonly name: string;
    /** Path prefix of whole segments, for example "/orders". */
    readonly path: string;
    readonly methods: readonly string[];
    readonly service: string;
    /** The caller's host name that it is for; any if undefined. */
    readonly host?: string;
    /** Services that share its requests by weight; "service" takes all if undefined. */
    readonly split?: readonly ServiceShare[];
    /** Most upstreams that one request may be sent to; the dispatcher's own limit if undefined. */
    readonly maxAttempts?: number;
    /** Time within which an answer is worth most to the caller, in milliseconds. */
    readonly targetMs?: number;
    /** Rank of its requests, 0 the highest; all rank alike if undefined. */
    readonly priority?: number;
    readonly kind: RouteKind;
    readonly access: RouteAccess;
    /** The accounts that may use it; all if undefined. */
    readonly accounts?: readonly string[];
    readonly keylessOrders?: KeylessOrders;
    /** Time from acceptance to the first byte of the answer, in milliseconds. */
    readonly deadlineMs: number;
    readonly maxBodyBytes: number;
}
