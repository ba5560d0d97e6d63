import type { Upstream } from "../configuration/index.js";
import type { Clock } from "../time/index.js";
import type { UpstreamProtocol } from "./UpstreamProtocol.js";

/** Limits of an exchange and what to call at its end. */
export interface UpstreamExchangeOptions {
    readonly clock: Clock;
    readonly protocol: UpstreamProtocol;
    readonly upstream: Upstream;
    /** Time until the first byte of the answer, in milliseconds. */
    readonly firstByteTimeoutMs: number;
    /** Time until the whole answer, in milliseconds; without a limit if undefined. */
    readonly answerTimeoutMs: number | undefined;
    /** Time until the caller's deadline, in milliseconds; the upstream is told. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
    /** Receives whether the whole answer came; the connection may be used again only then. */
    readonly onEnd: (isWhole: boolean) => void;
}
