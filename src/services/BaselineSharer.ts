import { getServiceParts } from "../configuration/index.js";
import type { Configuration } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerTransport } from "../peers/index.js";
import { PeerMethod } from "../peers/index.js";
import type { HostedPool } from "./HostedPool.js";
import type { ShareBaselineParams } from "./ShareBaselineParams.js";

const SEND_TIMEOUT_MS = 2_000;

/** Lets the pools of a service's parts know of each other, on this host and on the service hosts of the other parts. */
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
     * Sends how each pool of this host fares to the other parts of its service, without waiting for their answers.
     * @param pools - The host's pools.
     * @param configuration - Names the other parts.
     */
    send(pools: readonly HostedPool[], configuration: Configuration): void {
        for (const hosted of pools) {
            const params = createParams(hosted);
            this.record(pools.filter(other => other !== hosted), params);
            if (params.upstreams.length > 0 || params.served.requests > 0) {
                this.#sendToOthers(params, configuration);
            }
        }
    }

    /**
     * Records how a part of a service fares at the pools of its other parts; returns whether there is any.
     * @param pools - The host's pools.
     * @param params - The part and its figures.
     */
    record(pools: readonly HostedPool[], { service, part, upstreams, served, load }: ShareBaselineParams): boolean {
        const others = pools.filter(other => other.service === service);
        for (const { pool } of others) {
            pool.baseline.recordRemote(part, upstreams);
            pool.strain.recordRemote(part, served);
            if (load !== undefined) {
                pool.otherLoads.record({ part, ...load });
            }
        }
        return others.length > 0;
    }

    #sendToOthers(params: ShareBaselineParams, configuration: Configuration): void {
        const { service, part } = params;
        const configured = configuration.getService(service);
        const others = configured === undefined ? [] : getServiceParts(configured).filter(({ key }) => key !== part);
        const hosts = others.map(({ zone, key }) => this.#membership.getServiceHosts(service, zone, key)[0]);
        const addresses = new Set(hosts.flatMap(host => host?.peerAddress ?? []));
        addresses.delete(this.#membership.getSelf().peerAddress);
        for (const address of addresses) {
            // What a host misses now comes with the next summary.
            this.#peers.send(address, PeerMethod.ShareBaseline, params, SEND_TIMEOUT_MS).catch(() => {});
        }
    }
}

function createParams({ service, partKey, pool }: HostedPool): ShareBaselineParams {
    return {
        service,
        part: partKey,
        upstreams: pool.baseline.getSummary(),
        served: pool.strain.getCounts(),
        load: pool.getPartLoad(),
    };
}
