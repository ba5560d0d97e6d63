import type { Membership } from "../membership/index.js";

/** Most addresses that an answer holds. */
const MAX_ADDRESSES = 64;
/** Callers of an availability zone with fewer hosts than this get those of other zones too. */
const MIN_ZONE_HOSTS = 3;

interface HostAddresses {
    readonly addresses: readonly string[];
    /** How long callers may keep them, in milliseconds. */
    readonly lifetimeMs: number;
}

/** Tells callers which hosts to use: those of their availability zone that answer. */
export class HostLookup {
    readonly #membership: Membership;
    readonly #lifetimeMs: number;
    #isLeaving = false;

    /**
     * @param membership - Knows the hosts.
     * @param lifetimeMs - How long callers may keep an answer, in milliseconds.
     */
    constructor(membership: Membership, lifetimeMs: number) {
        this.#membership = membership;
        this.#lifetimeMs = lifetimeMs;
    }

    /** Leaves this host out from now on. */
    leave(): void {
        this.#isLeaving = true;
    }

    /**
     * Gets the addresses for a caller.
     * @param zone - The caller's availability zone; undefined if it does not say.
     */
    getAddresses(zone: string | undefined): HostAddresses {
        const selfId = this.#membership.getSelf().id;
        const members = this.#membership.getView().members.filter(member => member.id !== selfId || !this.#isLeaving);
        const reachable = members.filter(member => member.id === selfId || this.#membership.isReachable(member.id));
        // Where all others seem to be away, callers find out for themselves which of them answers.
        const hosts = reachable.length === 0 ? members : reachable;
        const inZone = hosts.filter(host => host.zone === zone);
        const chosen = inZone.length >= MIN_ZONE_HOSTS ? inZone : hosts;
        return {
            addresses: chosen.slice(0, MAX_ADDRESSES).map(host => host.callerAddress),
            lifetimeMs: this.#lifetimeMs,
        };
    }
}
