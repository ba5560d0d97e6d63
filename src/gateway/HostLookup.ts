import type { Membership } from "../membership/index.js";

/** Maximum number of addresses per lookup. */
const MAX_ADDRESSES = 64;
/** Below this number of hosts in the caller's availability zone, hosts of other zones are added. */
const MIN_ZONE_HOSTS = 3;

interface HostAddresses {
    readonly addresses: readonly string[];
    /** How long callers may cache them, in milliseconds. */
    readonly lifetimeMs: number;
}

/** Selects the entry hosts for a caller: the reachable ones of its availability zone. */
export class HostLookup {
    readonly #membership: Membership;
    readonly #lifetimeMs: number;
    #isLeaving = false;

    /**
     * @param membership - The hosts of the fleet and their reachability.
     * @param lifetimeMs - How long callers may cache the addresses, in milliseconds.
     */
    constructor(membership: Membership, lifetimeMs: number) {
        this.#membership = membership;
        this.#lifetimeMs = lifetimeMs;
    }

    /** Excludes this host from now on. */
    leave(): void {
        this.#isLeaving = true;
    }

    /**
     * Gets the addresses of the entry hosts for a caller.
     * @param zone - The caller's availability zone; undefined if unknown.
     */
    getAddresses(zone: string | undefined): HostAddresses {
        const selfId = this.#membership.getSelf().id;
        const members = this.#membership.getView().members.filter(member => member.id !== selfId || !this.#isLeaving);
        const reachable = members.filter(member => member.id === selfId || this.#membership.isReachable(member.id));
        // If this host leaves and reaches no other, it lists all others: they may still be reachable for callers.
        const hosts = reachable.length === 0 ? members : reachable;
        const inZone = hosts.filter(host => host.zone === zone);
        const selected = inZone.length >= MIN_ZONE_HOSTS ? inZone : hosts;
        return {
            addresses: selected.slice(0, MAX_ADDRESSES).map(host => host.callerAddress),
            lifetimeMs: this.#lifetimeMs,
        };
    }
}
