import type { ReplicaEvent } from "./ReplicaEvent.js";
import type { WatchResultKind } from "./WatchResultKind.js";

/** Result of a wait for changes. */
export type WatchResult =
    | {
        readonly kind: WatchResultKind.Events;
        /** The store's epoch, to which the revisions belong. */
        readonly epoch: number;
        /** The store's revision up to which the events are complete. */
        readonly revision: number;
        readonly events: readonly ReplicaEvent[];
    }
    | { readonly kind: WatchResultKind.HistoryLost; };
