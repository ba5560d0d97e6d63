import type { Account } from "../configuration/index.js";
import type { RateShare } from "./RateShare.js";

const NO_SHARE: RateShare = { burst: 0, rate: 0 };

/**
 * Gets the share of an account's rate that a host holds; the shares of all hosts sum to the whole.
 * @param account - The account.
 * @param index - The host's place among the holders; -1 if it isn't one.
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
