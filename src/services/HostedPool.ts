import type { ServicePool } from "./ServicePool.js";

/** A pool that a host has, with what tells it from the host's others. */
export interface HostedPool {
    readonly service: string;
    readonly zone: string;
    /** Tells the part of the service from its others. */
    readonly partKey: string;
    readonly pool: ServicePool;
    /** Until when another host has the pool, in milliseconds of the clock. */
    handedOverUntil: number | undefined;
}
