import type { PeerMethod } from "./PeerMethod.js";

/** The parameters and the result of each call between entry hosts; all are JSON values. */
export interface PeerMethods {
    [PeerMethod.PullGossip]: { params: { from: string; }; result: { from: string; }; };
}
