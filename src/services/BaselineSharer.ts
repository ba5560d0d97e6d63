import type { Configuration } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerTransport } from "../peers/index.js";
import { PeerMethod } from "../peers/index.js";
import type { ServicePool } from "./ServicePool.js";

const SEND_TIMEOUT_MS = 2_000;

/** Sends the summaries of a service host's pools to the other service hosts of the same services. */
export class BaselineSharer {
    readonly #membership: Membership;
    readonly #peers: PeerTransport;

    /**
     * @param membership - Knows the service hosts.
     * @param peers - Sends to them.
     */
    constructor(membership: Membership, peers: PeerTransport) {
        this.#membership = membership;
        this.#peers = peers;
    }

    /**
     * Sends the summary of one pool.
     * @param pool - The pool.
     * @param service - Its service.
     * @param zone - Its zone.
     * @param configuration - Names the other zones.
     */
    async send(pool: ServicePool, service: string, zone: string, configuration: Configuration): Promise<void> {
        const upstreams = pool.baseline.getSummary();
        const all = configuration.getService(service)?.upstreams ?? [];
        const zones = new Set(all.map(upstream => upstream.zone));
        zones.delete(zone);
        const self = this.#membership.getSelf().peerAddress;
        const addresses = [...zones].map(other => this.#membership.getServiceHosts(service, other)[0]?.peerAddress);
        const others = new Set(addresses.filter(address => address !== undefined && address !== self));
        const served = pool.strain.getSummary();
        if (upstreams.length === 0 && served.requests === 0) {
            return;
        }
        const params = { service, zone, upstreams, served };
        await Promise.all(
            [...others].map(address =>
                this.#peers.send(address!, PeerMethod.ShareBaseline, params, SEND_TIMEOUT_MS).catch(() => {})
            ),
        );
    }
}
