import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { Route } from "../Route.js";
import type { ItemKind } from "./ItemKind.js";
import type { ServiceSettings } from "./ServiceSettings.js";
import type { ServiceUpstream } from "./ServiceUpstream.js";

/** Maps each kind of item to the type of its value. */
export interface ItemValues {
    readonly [ItemKind.Account]: Account;
    readonly [ItemKind.Key]: AccountKey;
    readonly [ItemKind.Route]: Route;
    readonly [ItemKind.Service]: ServiceSettings;
    readonly [ItemKind.Upstream]: ServiceUpstream;
}
