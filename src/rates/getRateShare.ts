import type { Account } from "../configuration/index.js";
import type { RateShare } from "./RateShare.js";

const NO_SHARE: RateShare = { burst: 0, rate: 0 };

/**
 * Gets a host's share of an account's rate; the shares of all holders add up to the rate.
 * @param account - The account.
 * @param index - The host's index among the holders; -1 if it isn't one.
 * @param count - How many hosts hold shares.
 */
export function getRateShare(account: Account, index: number, count: number): RateShare {
    if (index < 0 || account.burst < 1) {
        return NO_SHARE;
    }
    const wholeBurst = Math.floor(account.burst);
    const burst = Math.floor(wholeBurst / count) + (index < wholeBurst % count ? 1 : 0);
    return { burst, rate: account.rate * burst / wholeBurst };
}
