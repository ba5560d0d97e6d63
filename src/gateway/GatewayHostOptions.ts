import type { PeerForwarder } from "../forwarding/index.js";
import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { HostRegistry } from "../registry/index.js";
import type { ReplicatedStore } from "../replica/index.js";
import type { UpstreamTransport } from "../services/index.js";
import type { StoreItemDecoder } from "../supply/index.js";
import type { Clock, StallMeter } from "../time/index.js";
import type { StoreRestorer } from "./StoreRestorer.js";

/** Identity and dependencies of a gateway host. */
export interface GatewayHostOptions {
    /** This host's entry in the host registry. */
    readonly self: Member;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly decisions: DecisionLog;
    readonly transport: PeerTransport;
    readonly forwarder: PeerForwarder;
    readonly upstreamTransport: UpstreamTransport;
    /** The store whose content is replicated. */
    readonly source: ReplicatedStore;
    readonly registry: HostRegistry;
    /** Writes to the store again what it loses by returning from an older copy. */
    readonly restorer: StoreRestorer;
    readonly decoder: StoreItemDecoder;
    readonly stallMeter?: StallMeter;
    /** The statuses by which callers are told that a request was not run. */
    readonly notRunStatuses: ReadonlySet<number>;
    /** How long callers may cache the addresses of a lookup, in milliseconds. */
    readonly lookupLifetimeMs: number;
}
