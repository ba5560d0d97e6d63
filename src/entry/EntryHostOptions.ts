import type { PeerForwarder } from "../forwarding/index.js";
import type { HostList } from "../hostlist/index.js";
import type { DecisionHistory } from "../logging/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { UpstreamTransport } from "../services/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { Store } from "../store/index.js";
import type { Clock, StallMeter } from "../time/index.js";

/** The dependencies and settings of an entry host. */
export interface EntryHostOptions {
    readonly settings: EntrySettings;
    /** Differs for every start of the process. */
    readonly incarnation: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly store: Store;
    readonly hostList: HostList;
    readonly transport: PeerTransport;
    readonly forwarder: PeerForwarder;
    readonly upstreamTransport: UpstreamTransport;
    readonly decisions: DecisionHistory;
    /** Measures stalls of this process, which are subtracted from upstream latencies. */
    readonly stallMeter?: StallMeter;
}
