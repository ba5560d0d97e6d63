import type { Account } from "../configuration/index.js";
import type { AdmitOptions } from "./AdmitOptions.js";
import type { RateDecision } from "./RateDecision.js";
import type { RateGrant } from "./RateGrant.js";

/** Keeps client accounts within their rate and burst over the whole fleet. */
export interface RateLimiter {
    /**
     * Spends a token of the account, asking other account hosts for one if this host's bucket is empty.
     * @param account - The account.
     * @param options - How long the request may wait for a token, and what tells it from others.
     */
    admit(account: Account, options?: AdmitOptions): Promise<RateDecision>;
    /**
     * Gives back the token of a request that is known not to have run.
     * @param account - The account.
     * @param grant - The token.
     */
    restore(account: Account, grant: RateGrant): void;
}
