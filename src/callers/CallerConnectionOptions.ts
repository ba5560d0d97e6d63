import type { CallerConnectionsOptions } from "./CallerConnectionsOptions.js";

/** Dependencies of one connection of a caller. */
export interface CallerConnectionOptions extends Pick<CallerConnectionsOptions, "clock" | "memory" | "prepare"> {
    /** Whether the connection is to be closed after the answers to the requests that were passed on. */
    readonly isDraining: () => boolean;
    /** Called when no request of the connection is in progress any more. */
    readonly onIdle: () => void;
}
