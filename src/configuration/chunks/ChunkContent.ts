import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { Route } from "../Route.js";
import type { ServiceSettings } from "./ServiceSettings.js";
import type { ServiceUpstream } from "./ServiceUpstream.js";

/** The items that a chunk holds. */
export interface ChunkContent {
    readonly accounts?: readonly Account[];
    readonly keys?: readonly AccountKey[];
    readonly routes?: readonly Route[];
    readonly services?: readonly ServiceSettings[];
    readonly upstreams?: readonly ServiceUpstream[];
}
