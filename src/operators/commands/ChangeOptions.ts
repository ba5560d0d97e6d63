import type { GlobalOptions } from "./GlobalOptions.js";

/** The options of commands that change the configuration. */
export interface ChangeOptions extends GlobalOptions {
    readonly base: number | undefined;
    readonly changeId: string | undefined;
}
