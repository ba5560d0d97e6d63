import type { ChunkGetParams, ChunkGetResult } from "../configuration/index.js";
import type { PeerMethod } from "./PeerMethod.js";

/** The parameters and the result of each call between entry hosts; all are JSON values. */
export interface PeerMethods {
    [PeerMethod.GetChunks]: { params: ChunkGetParams; result: ChunkGetResult; };
    [PeerMethod.PullGossip]: { params: { from: string; }; result: { from: string; }; };
}
