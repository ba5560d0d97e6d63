import type { FinalStatus } from "../outcomes/index.js";

/** Faults of a fake upstream; a field that is left out means no such fault. */
export interface FakeUpstreamFaults {
    /** Share of the requests that run and are answered with `errorStatus`, from 0 to 1. */
    readonly errorRate?: number;
    /** The status of the answers that `errorRate` counts; 500 if left out. */
    readonly errorStatus?: FinalStatus;
    /** Share of the requests whose answer is cut after its head, from 0 to 1. */
    readonly cutRate?: number;
    /** Share of the requests that run and whose connection is lost before the answer, from 0 to 1. */
    readonly lossRate?: number;
    /** Share of the requests that are never answered, from 0 to 1. */
    readonly hangRate?: number;
    /** Factor of the service time. */
    readonly slowFactor?: number;
    /** Whether connections are refused. */
    readonly isDown?: boolean;
    /** Whether every request is shed. */
    readonly isShedding?: boolean;
    /** The rate that its responses name as its limit, in requests per second; NaN if they name one that can't be read. */
    readonly requestRate?: number;
    /** The time for which its refusals say that it wants no requests, in milliseconds. */
    readonly retryAfterMs?: number;
    /** Whether every request is refused with status 503 and no proof that it did not run. */
    readonly isUnavailable?: boolean;
    /** Whether its responses say that it leaves. */
    readonly isLeaving?: boolean;
    /** Whether only its successful responses name the limit. */
    readonly hasSilentFailures?: boolean;
}
