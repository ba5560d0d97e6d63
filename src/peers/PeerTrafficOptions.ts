import type { PeerTrafficCount } from "./PeerTrafficCount.js";

/** What the counts of an entry host's traffic depend on. */
export interface PeerTrafficOptions {
    /** The availability zone of this host. */
    readonly ownZone: string;
    /** Finds the availability zone of another entry host by its peer address; undefined if it is not known. */
    readonly findZone: (address: string) => string | undefined;
    /** Receives the bytes of each message that this host sends. */
    readonly onSent?: (count: PeerTrafficCount) => void;
}
