import type { Account } from "./Account.js";
import type { CallerLimits } from "./CallerLimits.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** The items of a complete configuration that an external control plane has written. */
export interface SuppliedContent {
    readonly version: number;
    readonly accounts: readonly Account[];
    /** Account names by key. */
    readonly accountsByKey: ReadonlyMap<string, string>;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly limits: CallerLimits;
}
