import type { Service } from "../configuration/index.js";
import type { CallerRequest } from "../requests/index.js";

/** An admitted request on its way to an upstream. */
export interface DispatchCall {
    readonly request: CallerRequest;
    /** The client account, or the account that stands for callers without a key. */
    readonly account: string;
    readonly service: Service;
    readonly isIdempotent: boolean;
    /** When the first byte of the answer is due, in milliseconds of the clock. */
    readonly deadline: number;
    readonly fingerprint: string;
}
