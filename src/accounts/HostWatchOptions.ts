import type { Clock } from "../time/index.js";

/** How a host that runs a lookup is watched. */
export interface HostWatchOptions {
    readonly clock: Clock;
    /** Checks whether the host is unreachable or doesn't answer. */
    readonly isLost: () => Promise<boolean>;
    /** The host's share of the lookup's time, in milliseconds; undefined if it may use all. */
    readonly limitMs: number | undefined;
    /** Called at most once. */
    readonly onLate: () => void;
}
