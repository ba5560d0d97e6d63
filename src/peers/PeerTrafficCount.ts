import type { PeerTrafficKind } from "./PeerTrafficKind.js";

/** Bytes of one kind that an entry host sent to others. */
export interface PeerTrafficCount {
    readonly kind: PeerTrafficKind;
    /** Whether the receiver is in the sender's availability zone; a receiver whose zone is unknown counts as outside. */
    readonly isOwnZone: boolean;
    readonly bytes: number;
}
