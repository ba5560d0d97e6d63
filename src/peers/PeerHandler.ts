import type { PeerMethod } from "./PeerMethod.js";
import type { PeerMethods } from "./PeerMethods.js";

/** Handles the calls of one method from other entry hosts. */
export type PeerHandler<M extends PeerMethod> = (
    params: PeerMethods[M]["params"],
) => PeerMethods[M]["result"] | Promise<PeerMethods[M]["result"]>;
