import type { DecisionLog } from "../../logging/index.js";
import type { Clock, StallMeter } from "../../time/index.js";
import type { UpstreamTransport } from "./UpstreamTransport.js";

/** Dependencies and settings of an attempt runner. */
export interface AttemptRunnerOptions {
    readonly clock: Clock;
    readonly transport: UpstreamTransport;
    /** Records the retries. */
    readonly decisions: DecisionLog;
    /** Measures the time in which this process was stalled, which is subtracted from latencies. */
    readonly stallMeter?: StallMeter | undefined;
    /** Whether the whole response is due by the deadline, rather than its first byte. */
    readonly endsByDeadline?: boolean | undefined;
    /**
     * Time after the deadline in which the response to a request that is not idempotent is still received, in milliseconds;
     * 30 seconds if undefined.
     */
    readonly lateAnswerMs?: number | undefined;
}
