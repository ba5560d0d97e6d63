import { ChangeService, ConfigurationLoader } from "../../configuration/index.js";
import type { FakeNetwork } from "../../fakes/index.js";
import { StoredHeadStore } from "../../head/index.js";
import { DecisionHistory } from "../../logging/index.js";
import { PeerHandlers } from "../../peers/index.js";
import { SystemRandom } from "../../random/index.js";
import type { Store } from "../../store/index.js";
import { SystemClock } from "../../time/index.js";

/** The configuration part of an entry host, for measurements. */
export class CapacityHost {
    readonly loader: ConfigurationLoader;
    readonly headStore: StoredHeadStore;
    readonly service: ChangeService;

    /**
     * @param network - The network between the hosts.
     * @param store - The platform's store.
     * @param address - The host's own address.
     * @param peers - Where it fetches chunks.
     */
    constructor(network: FakeNetwork, store: Store, address: string, peers: readonly string[]) {
        const clock = new SystemClock();
        const decisions = new DecisionHistory(clock);
        const transport = network.createTransport(address);
        this.loader = new ConfigurationLoader({ store, transport, decisions, findPeers: () => peers });
        this.headStore = new StoredHeadStore({ store, clock, random: new SystemRandom() });
        this.service = new ChangeService({
            store,
            headStore: this.headStore,
            loader: this.loader,
            clock,
            waitForMajority: async () => true,
            publishHead: head => this.loader.apply(head),
        });
        const handlers = new PeerHandlers();
        this.loader.addHandlers(handlers);
        network.addHost(address, { handlers });
    }
}
