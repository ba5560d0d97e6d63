import type { Account } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import type { RateLimiter } from "../rates/index.js";
import type { Quarantine } from "./Quarantine.js";

/** The properties of one request and the dependencies of its admission. */
export interface RequestAdmissionOptions {
    readonly membership: Membership;
    readonly limiter: RateLimiter;
    readonly quarantine: Quarantine;
    /** Undefined for a caller without an API key, which has no rate limit. */
    readonly account: Account | undefined;
    readonly fingerprint: string;
    /** Whether the request's API key has been withdrawn. */
    readonly isKeyWithdrawn: () => boolean;
}
