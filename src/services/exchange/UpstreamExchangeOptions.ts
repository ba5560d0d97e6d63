import type { Upstream } from "../../configuration/index.js";
import type { Clock } from "../../time/index.js";
import type { UpstreamProtocol } from "./UpstreamProtocol.js";

/** Time limits of an exchange, and the callback for its end. */
export interface UpstreamExchangeOptions {
    readonly clock: Clock;
    readonly protocol: UpstreamProtocol;
    readonly upstream: Upstream;
    /** Time until the first byte of the response is due, in milliseconds. */
    readonly firstByteTimeoutMs: number;
    /** Time until the whole response is due, in milliseconds; no limit if undefined. */
    readonly answerTimeoutMs: number | undefined;
    /** The deadline that is sent to the upstream, in milliseconds from now. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
    /** Receives whether the whole response was received; only then may the connection be reused. */
    readonly onEnd: (isWhole: boolean) => void;
}
