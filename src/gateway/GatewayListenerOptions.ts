import type { Outcome } from "../outcomes/index.js";
import type { Clock } from "../time/index.js";
import type { Gateway } from "./Gateway.js";
import type { GatewayProtocol } from "./GatewayProtocol.js";

/** What the listener for callers' requests works with. */
export interface GatewayListenerOptions {
    readonly clock: Clock;
    readonly gateway: Gateway;
    readonly protocol: GatewayProtocol;
    /**
     * Receives what became of a request and how long it took until the first byte of its answer, in milliseconds.
     */
    readonly recordDuration: (outcome: Outcome, durationMs: number) => void;
}
