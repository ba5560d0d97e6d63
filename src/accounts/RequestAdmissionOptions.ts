import type { Account } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import type { RateLimiter } from "../rates/index.js";
import type { Quarantine } from "./Quarantine.js";

/** What the admission of one request works with. */
export interface RequestAdmissionOptions {
    readonly membership: Membership;
    readonly limiter: RateLimiter;
    readonly quarantine: Quarantine;
    /** Undefined for a caller without a key, who has no rate. */
    readonly account: Account | undefined;
    readonly fingerprint: string;
    /** Whether the key that came with the request has been withdrawn. */
    readonly isKeyWithdrawn: () => boolean;
}
