import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { Route } from "../Route.js";
import type { ServiceSettings } from "./ServiceSettings.js";
import type { ServiceUpstream } from "./ServiceUpstream.js";

/** The items of a section whose name hashes start with the same bits. */
export interface ChunkContent {
    /** The common leading bits as "0" and "1"; empty if the chunk holds all items of the section. */
    readonly prefix: string;
    readonly accounts?: readonly Account[];
    readonly keys?: readonly AccountKey[];
    readonly routes?: readonly Route[];
    readonly services?: readonly ServiceSettings[];
    readonly upstreams?: readonly ServiceUpstream[];
}
