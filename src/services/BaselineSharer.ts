import { getServiceParts } from "../configuration/index.js";
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
     * @param partKey - Tells its part of the service from the others.
     * @param configuration - Names the other parts.
     */
    async send(pool: ServicePool, service: string, partKey: string, configuration: Configuration): Promise<void> {
        const upstreams = pool.baseline.getSummary();
        const served = pool.strain.getSummary();
        if (upstreams.length === 0 && served.requests === 0) {
            return;
        }
        const load = pool.getPartLoad();
        const configured = configuration.getService(service);
        const others = configured === undefined ? [] : getServiceParts(configured).filter(({ key }) => key !== partKey);
        const self = this.#membership.getSelf().peerAddress;
        const hosts = others.map(({ zone, key }) => this.#membership.getServiceHosts(service, zone, key)[0]);
        const addresses = new Set(hosts.flatMap(host => host?.peerAddress ?? []));
        addresses.delete(self);
        const params = { service, part: partKey, upstreams, served, load };
        await Promise.all(
            [...addresses].map(address =>
                this.#peers.send(address, PeerMethod.ShareBaseline, params, SEND_TIMEOUT_MS).catch(() => {})
            ),
        );
    }
}
