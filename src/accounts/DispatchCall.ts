import type { Service } from "../configuration/index.js";
import type { CallerRequest } from "../requests/index.js";

/** An admitted request with the service that is to run it. */
export interface DispatchCall {
    readonly request: CallerRequest;
    /** The client account's name; undefined for callers without an API key. */
    readonly account: string | undefined;
    readonly service: Service;
    readonly isIdempotent: boolean;
    /** When the first byte of the answer is due, in milliseconds of the clock. */
    readonly deadline: number;
    readonly fingerprint: string;
}
