import type { Configuration, Service } from "../../configuration/index.js";
import type { Membership } from "../../membership/index.js";
import type { PeerTransport } from "../../peers/index.js";
import { PeerHandlers } from "../../peers/index.js";
import { SeededRandom } from "../../random/index.js";
import { ServiceHost } from "../../services/index.js";
import type { UpstreamTransport } from "../../services/index.js";
import { SystemClock } from "../../time/index.js";

const SEED = 1;

/**
 * Creates a service host for measurements.
 * @param services - The services by name.
 * @param transport - Sends to upstreams.
 */
export function createServiceHost(services: ReadonlyMap<string, Service>, transport: UpstreamTransport): ServiceHost {
    const host = new ServiceHost({
        clock: new SystemClock(),
        random: new SeededRandom(SEED),
        transport,
        handlers: new PeerHandlers(),
        peers: { send: () => Promise.reject(new Error("There are no peers.")) } as PeerTransport,
        membership: {
            getSelf: () => ({ peerAddress: "own" }),
            getView: () => ({ version: 1, members: [] }),
            getServiceHosts: () => [{ peerAddress: "own" }],
        } as unknown as Membership,
        decisions: { record: () => {} },
    });
    host.apply({
        getService: (name: string) => services.get(name),
        getAccount: () => undefined,
    } as unknown as Configuration);
    return host;
}
