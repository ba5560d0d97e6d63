import type { Account } from "../configuration/index.js";
import type { MembershipView } from "../head/index.js";
import type { Membership } from "../membership/index.js";
import type { Clock } from "../time/index.js";
import { getRateShare } from "./getRateShare.js";
import type { InstalledView } from "./InstalledView.js";
import type { RateShare } from "./RateShare.js";

/** Longer than the freshness bound, within which a former account host learns of the change or stops. */
const HOLD_OFF_MS = 4_000;
const HISTORY_MS = 600_000;
const MAX_VIEWS = 64;

/** Tells which share of an account's rate this host held at each time, by the views that were in force. */
export class ShareHistory {
    readonly #clock: Clock;
    readonly #membership: Membership;
    readonly #views: InstalledView[];

    /**
     * @param clock - The source of time.
     * @param membership - Knows the views and the account hosts.
     */
    constructor(clock: Clock, membership: Membership) {
        this.#clock = clock;
        this.#membership = membership;
        const now = clock.getTime();
        this.#views = [{ view: undefined, since: -Infinity }, { view: membership.getView(), since: now }];
        membership.addViewListener(view => this.#addView(view));
    }

    /** Gets how long a share that grew is held back, in milliseconds. */
    getHoldOffMs(): number {
        return HOLD_OFF_MS;
    }

    /** Gets the time from which on the share no longer changes under the newest view. */
    getSettledTime(): number {
        return this.#getNewest().since + HOLD_OFF_MS;
    }

    /** Gets the number of the newest view. */
    getViewVersion(): number {
        return this.#getNewest().view?.version ?? 0;
    }

    /**
     * Gets the times in a span at which the share may have changed, in order.
     * @param from - The start in milliseconds.
     * @param to - The end in milliseconds.
     */
    getChangeTimes(from: number, to: number): readonly number[] {
        const times = this.#views.flatMap(({ since }) => [since, since + HOLD_OFF_MS]);
        return times.filter(time => time > from && time <= to).sort((first, second) => first - second);
    }

    /**
     * Gets the share at a time: what every view of the hold-off before it grants.
     * @param account - The account.
     * @param time - The time in milliseconds.
     */
    getShare(account: Account, time: number): RateShare {
        let least: RateShare | undefined;
        for (const [index, { view, since }] of this.#views.entries()) {
            const end = this.#views[index + 1]?.since ?? Infinity;
            if (since <= time && end + HOLD_OFF_MS > time) {
                const share = this.#getShareInView(account, view);
                least = least === undefined || share.burst < least.burst ? share : least;
            }
        }
        return least ?? this.#getShareInView(account, undefined);
    }

    /**
     * Gets the share that the newest view grants once the hold-off has passed.
     * @param account - The account.
     */
    getNewestShare(account: Account): RateShare {
        return this.#getShareInView(account, this.#getNewest().view);
    }

    #getShareInView(account: Account, view: MembershipView | undefined): RateShare {
        const hosts = view === undefined ? [] : this.#membership.getAccountHosts(account.name, view);
        const self = this.#membership.getSelf();
        const index = hosts.findIndex(host => host.id === self.id && host.incarnation === self.incarnation);
        return getRateShare(account, index, hosts.length);
    }

    #addView(view: MembershipView): void {
        const now = this.#clock.getTime();
        this.#views.push({ view, since: now });
        while (this.#views.length > MAX_VIEWS || (this.#views[1]?.since ?? now) < now - HISTORY_MS) {
            this.#views.shift();
        }
    }

    #getNewest(): InstalledView {
        return this.#views.at(-1) ?? { view: undefined, since: -Infinity };
    }
}
