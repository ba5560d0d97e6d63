import type { Account, Route } from "../configuration/index.js";

/** The route of a request and the client account that may use it. */
export interface AuthorizedRoute {
    readonly route: Route;
    /** Undefined for a request without a valid key, which only a public route accepts. */
    readonly account: Account | undefined;
}
