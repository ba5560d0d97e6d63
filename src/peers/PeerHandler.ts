import type { PeerMethod } from "./PeerMethod.js";
import type { PeerMethods } from "./PeerMethods.js";

/** Answers one kind of call from other entry hosts. */
export type PeerHandler<M extends PeerMethod> = (
    params: PeerMethods[M]["params"],
) => PeerMethods[M]["result"] | Promise<PeerMethods[M]["result"]>;
