import type { PeerHandlers } from "../peers/index.js";
import type { AccountRunner } from "../requests/index.js";
import type { ServiceRunner } from "../services/index.js";

/** The interfaces of an entry host on the fake network. */
export interface FakeHost {
    readonly handlers: PeerHandlers;
    readonly serviceRunner?: ServiceRunner;
    readonly accountRunner?: AccountRunner;
}
