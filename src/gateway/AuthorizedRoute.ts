import type { Account, Route } from "../configuration/index.js";

/** What a request is for. */
export interface AuthorizedRoute {
    readonly route: Route;
    /** Undefined on a route open to all. */
    readonly account: Account | undefined;
}
