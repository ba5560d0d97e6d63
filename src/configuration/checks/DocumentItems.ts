import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { Route } from "../Route.js";
import type { Service } from "../Service.js";
import type { PlacedItem } from "./PlacedItem.js";

/** The well-formed items of a document over all its sections, for checks between them. */
export interface DocumentItems {
    readonly owners: ReadonlyMap<string, readonly string[]>;
    readonly accounts: readonly PlacedItem<Account>[];
    readonly keys: readonly PlacedItem<AccountKey>[];
    readonly routes: readonly PlacedItem<Route>[];
    readonly services: readonly PlacedItem<Service>[];
    /** Names of accounts and services that are there but malformed; references to them are no further finding. */
    readonly malformedNames: ReadonlySet<string>;
}
