import type { CallerRequest } from "../requests/index.js";

/** A caller's order, as it is deduplicated. */
export interface OrderCall {
    readonly request: CallerRequest;
    /** The client account's name; undefined for callers without an API key. */
    readonly account: string | undefined;
    /** When the first byte of the answer is due, in milliseconds of the clock. */
    readonly deadline: number;
    /** Digest of account, method, path and body. */
    readonly fingerprint: string;
}
