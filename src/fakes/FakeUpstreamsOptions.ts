import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";

/** Options of fake upstreams. */
export interface FakeUpstreamsOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Mean service time in milliseconds; each one is drawn between 0.5 and 1.5 times the mean. */
    readonly serviceTimeMs: number;
    /** Mean service times by route, in milliseconds; other routes have the common one. */
    readonly routeServiceTimesMs?: Readonly<Record<string, number>>;
    /** Share of the requests that fail on a healthy upstream, from 0 to 1. */
    readonly healthyErrorRate?: number;
    /** Share of the requests that take ten times as long on a healthy upstream, from 0 to 1. */
    readonly tailRate?: number;
    /** Bytes of an answer's body. */
    readonly answerBytes?: number;
    /** Time between the head and the end of an answer, in milliseconds. */
    readonly answerTimeMs?: number;
    /** Requests with this text in their path crash the upstream that runs them. */
    readonly crashMark?: string;
    /** How long a crashed upstream refuses connections, in milliseconds. */
    readonly restartMs?: number;
    /** How long an upstream is slow after a restart, in milliseconds. */
    readonly coldStartMs?: number;
    /** Factor of the service time during this time. */
    readonly coldFactor?: number;
}
