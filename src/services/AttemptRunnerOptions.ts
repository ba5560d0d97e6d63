import type { DecisionLog } from "../logging/index.js";
import type { Clock, StallMeter } from "../time/index.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** What a runner of attempts works with. */
export interface AttemptRunnerOptions {
    readonly clock: Clock;
    readonly transport: UpstreamTransport;
    /** Receives the retries. */
    readonly decisions: DecisionLog;
    /** Time in which this process stands still is not counted as an upstream's latency. */
    readonly stallMeter?: StallMeter | undefined;
    /** Whether whole answers are due by the deadline, rather than their first bytes. */
    readonly endsByDeadline?: boolean | undefined;
    /** How long the answer to an order is waited for after its deadline, in milliseconds. */
    readonly lateAnswerMs?: number | undefined;
}
