import type { HeaderFields } from "../outcomes/index.js";

/** One request that reached a fake upstream. */
export interface FakeUpstreamRecord {
    readonly requestId: string;
    readonly account: string | undefined;
    readonly upstream: string;
    readonly path: string;
    readonly isIdempotent: boolean;
    /** Time of arrival in milliseconds. */
    readonly time: number;
    /** Whether the upstream ran it. */
    readonly isRun: boolean;
    /** Requests that the upstream was running at arrival, without this one. */
    readonly running: number;
    readonly headers: HeaderFields;
}
