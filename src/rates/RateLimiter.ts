import type { Account } from "../configuration/index.js";
import type { RateDecision } from "./RateDecision.js";
import type { RateGrant } from "./RateGrant.js";

/** Keeps client accounts within their rate and burst over the whole fleet. */
export interface RateLimiter {
    /**
     * Spends a token of the account, asking other account hosts for one if this host's bucket is empty.
     * @param account - The account.
     * @param fingerprint - Tells the request from others, for the quarantine at the account's owner.
     */
    admit(account: Account, fingerprint?: string): Promise<RateDecision>;
    /**
     * Gives back the token of a request that is known not to have run.
     * @param account - The account.
     * @param grant - The token.
     */
    restore(account: Account, grant: RateGrant): void;
}
