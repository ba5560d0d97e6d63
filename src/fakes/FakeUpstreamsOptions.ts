import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";

/** What fake upstreams are made of. */
export interface FakeUpstreamsOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Mean service time in milliseconds; single times vary between half and one and a half of it. */
    readonly serviceTimeMs: number;
    /** Mean service times of routes that differ, in milliseconds. */
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
    /** How long an upstream is slow after it has come up, in milliseconds. */
    readonly coldStartMs?: number;
    /** How many times the usual service time is taken while it is cold. */
    readonly coldFactor?: number;
}
