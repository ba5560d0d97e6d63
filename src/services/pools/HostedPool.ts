import type { ServicePool } from "./ServicePool.js";

/** A pool of a service host, with the service, zone and part that identify it. */
export interface HostedPool {
    readonly service: string;
    readonly zone: string;
    /** The key of the service's part. */
    readonly partKey: string;
    readonly pool: ServicePool;
    /** The time until which the pool is handed over to another host, in milliseconds of the clock; undefined if it is not. */
    handedOverUntil: number | undefined;
}
