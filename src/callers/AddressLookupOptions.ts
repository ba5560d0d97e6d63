import type { Membership } from "../membership/index.js";
import type { Clock } from "../time/index.js";

/** The dependencies and settings of the address lookup. */
export interface AddressLookupOptions {
    readonly membership: Membership;
    readonly clock: Clock;
    /** How long callers may cache an answer, in milliseconds. */
    readonly lifetimeMs: number;
}
