import type { Membership } from "../membership/index.js";
import type { Clock } from "../time/index.js";

/** What the lookup of addresses needs. */
export interface AddressLookupOptions {
    readonly membership: Membership;
    readonly clock: Clock;
    /** How long callers may keep an answer, in milliseconds. */
    readonly lifetimeMs: number;
}
