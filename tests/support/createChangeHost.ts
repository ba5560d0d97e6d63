import { ChangeService, ConfigurationLoader } from "../../src/configuration/index.js";
import type { FakeNetwork } from "../../src/fakes/index.js";
import { StoredHeadStore } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import type { Store } from "../../src/store/index.js";
import type { Clock } from "../../src/time/index.js";
import type { ChangeHost } from "./ChangeHost.js";

/**
 * Creates the configuration part of an entry host.
 * @param clock - The source of time.
 * @param network - The network between entry hosts.
 * @param store - The platform's store.
 * @param address - The host's own address.
 * @param peers - The addresses of the other hosts.
 */
export function createChangeHost(
    clock: Clock,
    network: FakeNetwork,
    store: Store,
    address = "127.0.0.1:1",
    peers: readonly string[] = [],
): ChangeHost {
    const handlers = new PeerHandlers();
    const transport = network.createTransport(address);
    const decisions = new DecisionHistory(clock);
    const loader = new ConfigurationLoader({ store, transport, decisions, findPeers: () => peers });
    const headStore = new StoredHeadStore({ store, clock, random: new SeededRandom(1) });
    const host = { loader, headStore, isMajorityReached: true };
    const service = new ChangeService({
        store,
        headStore,
        loader,
        clock,
        waitForMajority: async () => host.isMajorityReached,
        publishHead: head => loader.apply(head),
    });
    loader.addHandlers(handlers);
    network.addHost(address, { handlers });
    return Object.assign(host, { service });
}
