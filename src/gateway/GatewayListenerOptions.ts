import type { ProcessMemory } from "../memory/index.js";
import type { Outcome } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";
import type { Gateway } from "./Gateway.js";
import type { GatewayProtocol } from "./GatewayProtocol.js";

/** Dependencies of the listener for callers' requests. */
export interface GatewayListenerOptions {
    readonly clock: Clock;
    readonly gateway: Gateway;
    readonly protocol: GatewayProtocol;
    /** What requests may hold in this process. */
    readonly memory: ProcessMemory;
    /** Largest number of open connections. */
    readonly maxConnections: number;
    /**
     * Receives the outcome of a request and the time to the first byte of its response, in milliseconds.
     */
    readonly recordDuration: (outcome: Outcome, durationMs: number) => void;
}
