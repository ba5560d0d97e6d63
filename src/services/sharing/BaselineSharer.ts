import { getServiceParts } from "../../configuration/index.js";
import type { Configuration } from "../../configuration/index.js";
import type { Membership } from "../../membership/index.js";
import type { PeerTransport } from "../../peers/index.js";
import { PeerMethod } from "../../peers/index.js";
import type { HostedPool } from "../pools/HostedPool.js";
import type { ShareBaselineParams } from "./ShareBaselineParams.js";

const SEND_TIMEOUT_MS = 2_000;

/** Shares the health and load summaries of pools with the other parts of their services, on this and other service hosts. */
export class BaselineSharer {
    readonly #membership: Membership;
    readonly #peers: PeerTransport;

    /**
     * @param membership - The source of the service hosts.
     * @param peers - The transport to them.
     */
    constructor(membership: Membership, peers: PeerTransport) {
        this.#membership = membership;
        this.#peers = peers;
    }

    /**
     * Sends the summary of each pool of this host to the other parts of its service, without waiting for their answers.
     * @param pools - The host's pools.
     * @param configuration - The configuration with the other parts.
     */
    send(pools: readonly HostedPool[], configuration: Configuration): void {
        for (const hosted of pools) {
            const params = createParams(hosted);
            this.record(pools.filter(other => other !== hosted), params);
            if (params.upstreams.length > 0 || params.served.requests > 0 || params.notices !== undefined) {
                this.#sendToOthers(params, configuration);
            }
        }
    }

    /**
     * Records the summary of a part of a service at the pools of its other parts; returns whether there is any such pool.
     * @param pools - The host's pools.
     * @param params - The part and its summary.
     */
    record(pools: readonly HostedPool[], { service, part, upstreams, served, load }: ShareBaselineParams): boolean {
        const others = pools.filter(other => other.service === service);
        for (const { pool } of others) {
            pool.baseline.recordRemote(part, upstreams);
            pool.unservedRate.recordRemote(part, served);
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
            // A lost summary is not resent: the next one replaces it.
            this.#peers.send(address, PeerMethod.ShareBaseline, params, SEND_TIMEOUT_MS).catch(() => {});
        }
    }
}

function createParams({ service, partKey, pool }: HostedPool): ShareBaselineParams {
    const notices = pool.getNotices();
    return {
        service,
        part: partKey,
        upstreams: pool.baseline.getSummary(),
        served: pool.unservedRate.getCounts(),
        load: pool.getPartLoad(),
        ...(notices.length === 0 ? {} : { notices }),
    };
}
