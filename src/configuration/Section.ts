import type { Account } from "./Account.js";
import type { AccountKey } from "./AccountKey.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** A section of the configuration document that one team owns. */
export interface Section {
    /** Names of the operators that may change it. */
    readonly owners: readonly string[];
    readonly accounts?: readonly Account[];
    readonly keys?: readonly AccountKey[];
    readonly routes?: readonly Route[];
    readonly services?: readonly Service[];
}
