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

/** What a gateway host works with. */
export interface GatewayHostOptions {
    /** This host's own entry. */
    readonly self: Member;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly decisions: DecisionLog;
    readonly transport: PeerTransport;
    readonly forwarder: PeerForwarder;
    readonly upstreamTransport: UpstreamTransport;
    /** The platform's store. */
    readonly source: ReplicatedStore;
    readonly registry: HostRegistry;
    readonly decoder: StoreItemDecoder;
    readonly stallMeter?: StallMeter;
    /** How long callers may keep a lookup's answer, in milliseconds. */
    readonly lookupLifetimeMs: number;
}
