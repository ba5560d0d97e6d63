import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { CallerTransport } from "./CallerTransport.js";

/** What a caller's address book is built from. */
export interface AddressBookOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: CallerTransport;
    /** Entry hosts known from the start, as "http://ip:port". */
    readonly entries: readonly string[];
    readonly key: string | undefined;
    /** Time until a lookup at one host counts as failed, in milliseconds. */
    readonly timeoutMs: number;
}
