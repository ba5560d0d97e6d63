import type { KeylessOrderPolicy } from "./KeylessOrderPolicy.js";
import type { RouteAccess } from "./RouteAccess.js";
import type { RouteKind } from "./RouteKind.js";
import type { ServiceShare } from "./ServiceShare.js";

/** Routes the requests below a path to a service. */
export interface Route {
    readonly name: string;
    /** Path prefix of whole segments, for example "/orders". */
    readonly path: string;
    readonly methods: readonly string[];
    readonly service: string;
    /** Host name of the requests that it matches; any if undefined. */
    readonly host?: string;
    /** Services that split its requests by weight; "service" gets all of them if undefined. */
    readonly split?: readonly ServiceShare[];
    /** Most upstreams that one request may be sent to; the dispatcher's default if undefined. */
    readonly maxAttempts?: number;
    /** Target latency of a response, in milliseconds; a later one has less value to the caller. */
    readonly targetMs?: number;
    /** Priority of its requests, 0 is the highest; all requests have the same one if undefined. */
    readonly priority?: number;
    readonly kind: RouteKind;
    readonly access: RouteAccess;
    /** Names of the accounts that may use it; all if undefined. */
    readonly accounts?: readonly string[];
    readonly keylessOrders?: KeylessOrderPolicy;
    /** Longest time from the acceptance of a request to the first byte of its response, in milliseconds. */
    readonly deadlineMs: number;
    readonly maxBodyBytes: number;
    /** Why its requests can't be served and are refused; undefined if they can. */
    readonly defect?: string;
}
