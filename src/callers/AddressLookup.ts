import type { Account } from "../configuration/index.js";
import type { Member } from "../head/index.js";
import type { Membership } from "../membership/index.js";
import { createMemberPrefix } from "../orders/index.js";
import type { Clock } from "../time/index.js";
import type { AddressLookupOptions } from "./AddressLookupOptions.js";
import type { LookupAnswer } from "./LookupAnswer.js";

const MAX_HOSTS_WITHOUT_KEY = 3;

/** Looks up the addresses that a caller should send its requests to. */
export class AddressLookup {
    readonly #membership: Membership;
    readonly #clock: Clock;
    readonly #lifetimeMs: number;

    /** @param options - The dependencies and settings of the lookup. */
    constructor(options: AddressLookupOptions) {
        this.#membership = options.membership;
        this.#clock = options.clock;
        this.#lifetimeMs = options.lifetimeMs;
    }

    /**
     * Gets the addresses for a client account; hosts known to be unreachable are left out unless all are.
     * @param account - The account; undefined for a caller without a key.
     */
    getAddresses(account: Account | undefined): LookupAnswer {
        const hosts = this.#getHosts(account);
        const reachable = hosts.filter(host => this.#isReachable(host));
        const returned = reachable.length > 0 ? reachable : hosts;
        const addresses = returned.map(host => ({
            url: `http://${host.callerAddress}`,
            keyPrefix: createMemberPrefix(host, this.#clock.getWallTime()),
        }));
        return { addresses, ttlMs: this.#lifetimeMs };
    }

    #getHosts(account: Account | undefined): readonly Member[] {
        if (account !== undefined) {
            return this.#membership.getAccountHosts(account.name);
        }
        const self = this.#membership.getSelf();
        const others = this.#membership.getView().members.filter(member => member.id !== self.id);
        return [self, ...others.slice(0, MAX_HOSTS_WITHOUT_KEY - 1)];
    }

    #isReachable(host: Member): boolean {
        return host.id === this.#membership.getSelf().id || this.#membership.isReachable(host.id);
    }
}
