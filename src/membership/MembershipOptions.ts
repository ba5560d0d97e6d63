import type { HeadInstaller, HeadStore, Member } from "../head/index.js";
import type { HostList } from "../hostlist/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";

/** Dependencies and settings of an entry host's membership. */
export interface MembershipOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: PeerTransport;
    /** Registers the handlers of the membership's calls. */
    readonly handlers: PeerHandlers;
    readonly headStore: HeadStore;
    readonly hostList: HostList;
    readonly installer: HeadInstaller;
    readonly log: DecisionLog;
    /** This host's own entry, with a new incarnation. */
    readonly self: Member;
    /** Peer addresses to pull from while no view is known. */
    readonly seedAddresses: readonly string[];
    /** Number of account hosts of each client account; 3 if left out. */
    readonly accountHostCount?: number;
    /** Maximum lag of the host list, in milliseconds; 10 s if left out. */
    readonly hostListLagMs?: number;
    /** Time between two pulls, in milliseconds; 250 if left out. */
    readonly pullIntervalMs?: number;
    /** Hands this host's responsibilities over to their next hosts before it leaves the view. */
    readonly handOver?: () => Promise<void>;
}
