import type { ReplicaEvent } from "./ReplicaEvent.js";
import type { WatchResultKind } from "./WatchResultKind.js";

/** What a wait for changes came to. */
export type WatchResult =
    | {
        readonly kind: WatchResultKind.Events;
        /** The store's revision up to which the events are complete. */
        readonly revision: number;
        readonly events: readonly ReplicaEvent[];
    }
    | { readonly kind: WatchResultKind.HistoryLost; };
