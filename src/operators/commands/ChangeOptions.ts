import type { GlobalOptions } from "./GlobalOptions.js";

/** The options of commands that change the configuration. */
export interface ChangeOptions extends GlobalOptions {
    /** The version that the change was made from; the current one if undefined. */
    readonly base: number | undefined;
    /** The idempotency key of the change; random if undefined. */
    readonly changeId: string | undefined;
}
