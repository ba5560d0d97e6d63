import type { Policy } from "../settings/index.js";
import type { UpstreamDefaults } from "./UpstreamDefaults.js";

/** A test fleet of separate processes on loopback. */
export interface FleetOptions {
    /** Folder of an example with configuration.json and keys.json. */
    readonly example: string;
    /** Entry hosts in each availability zone. */
    readonly hostsPerZone: number;
    /** First port of the entry hosts and of the platform's stand-ins. */
    readonly basePort: number;
    readonly policy: Policy;
    /** Settings of all upstream stand-ins. */
    readonly upstreams: UpstreamDefaults;
    /** How long callers keep a lookup's answer, in milliseconds. */
    readonly lookupLifetimeMs: number;
    /** First port of the upstreams; the document's own addresses if left out. */
    readonly upstreamPort?: number;
    /** Seed of the upstreams' random numbers. */
    readonly seed?: number;
}
