import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { Route } from "../Route.js";
import type { Service } from "../Service.js";
import type { PlacedItem } from "./PlacedItem.js";

/** The well-formed items of all sections of a document, for checks between items. */
export interface DocumentItems {
    readonly owners: ReadonlyMap<string, readonly string[]>;
    readonly accounts: readonly PlacedItem<Account>[];
    readonly keys: readonly PlacedItem<AccountKey>[];
    readonly routes: readonly PlacedItem<Route>[];
    readonly services: readonly PlacedItem<Service>[];
    /** Names of malformed accounts and services; references to them are not reported as missing. */
    readonly malformedNames: ReadonlySet<string>;
}
