import type { Account } from "../configuration/index.js";
import type { AdmitOptions } from "./AdmitOptions.js";
import type { RateDecision } from "./RateDecision.js";
import type { RateGrant } from "./RateGrant.js";

/** Limits client accounts to their rate and burst over the whole fleet. */
export interface RateLimiter {
    /**
     * Spends a token of the account, borrowing one from another account host if this host's bucket is empty.
     * @param account - The account.
     * @param options - The request's fingerprint and how long it may wait for a token.
     */
    admit(account: Account, options?: AdmitOptions): Promise<RateDecision>;
    /**
     * Gives back the token of a request that is known not to have run.
     * @param account - The account.
     * @param grant - The grant of the token.
     */
    restore(account: Account, grant: RateGrant): void;
}
