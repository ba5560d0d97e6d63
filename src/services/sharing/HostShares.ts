import type { Membership } from "../../membership/index.js";

/** Number of service hosts of a part that entry hosts try in turn. */
const SERVICE_HOST_RANKS = 3;
/** Share of the retry budget that a service host may spend, relative to the one ranked before it. */
const RETRY_RANK_FACTOR = 0.5;
/**
 * Shares of an upstream's request rate by the rank of the service host. Hosts that send to the upstream at once, as after a network
 * partition, can't know of each other, so all shares together exceed the rate by half only.
 */
const RATE_SHARES = [1, 0.25, 0.125];
/** Share of the rate that all other hosts have together. */
const OTHER_HOSTS_RATE_SHARE = 0.125;

/** This host's shares of what the service hosts of a part may use together, by its rank among them. */
export class HostShares {
    readonly #membership: Membership;
    readonly #service: string;
    readonly #zone: string;
    readonly #partKey: string;

    /**
     * @param membership - The source of the service hosts.
     * @param service - The service's name.
     * @param zone - The zone of the part.
     * @param partKey - The key of the part.
     */
    constructor(membership: Membership, service: string, zone: string, partKey: string) {
        this.#membership = membership;
        this.#service = service;
        this.#zone = zone;
        this.#partKey = partKey;
    }

    /** Gets the share of the retry budget: the first service host may spend all, the next ones less; all others share it evenly. */
    getRetryShare(): number {
        const rank = this.#getRank();
        return rank < 0 ? 1 / this.#getHostCount() : RETRY_RANK_FACTOR ** rank;
    }

    /** Gets the share of the request rate that an upstream accepts. */
    getRateShare(): number {
        return RATE_SHARES[this.#getRank()] ?? OTHER_HOSTS_RATE_SHARE / this.#getHostCount();
    }

    /** Gets this host's rank among the service hosts of the part; -1 if it is not one of the first. */
    #getRank(): number {
        const { peerAddress } = this.#membership.getSelf();
        return this.#membership.getServiceHosts(this.#service, this.#zone, this.#partKey).slice(0, SERVICE_HOST_RANKS)
            .findIndex(host => host.peerAddress === peerAddress);
    }

    #getHostCount(): number {
        return Math.max(1, this.#membership.getView().members.length);
    }
}
