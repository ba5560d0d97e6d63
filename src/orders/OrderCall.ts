import type { CallerRequest } from "../requests/index.js";

/** An order of a caller on its way through deduplication. */
export interface OrderCall {
    readonly request: CallerRequest;
    /** The client account, or the account that stands for callers without a key. */
    readonly account: string;
    /** When the first byte of the answer is due, in milliseconds of the clock. */
    readonly deadline: number;
    /** Digest of what the order asks for. */
    readonly fingerprint: string;
}
