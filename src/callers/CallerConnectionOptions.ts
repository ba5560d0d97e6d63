import type { CallerConnectionsOptions } from "./CallerConnectionsOptions.js";

/** Dependencies of one connection of a caller. */
export interface CallerConnectionOptions extends Pick<CallerConnectionsOptions, "clock" | "memory"> {
    /** Whether the connection is to be closed after the answer to the last request that was read. */
    readonly isDraining: () => boolean;
    /** Called when no request of the connection is in progress any more, and when it has closed. */
    readonly onIdle: () => void;
}
