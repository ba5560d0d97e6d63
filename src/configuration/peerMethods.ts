import type { PeerMethod } from "../peers/index.js";
import type { ChunkGetParams } from "./chunks/ChunkGetParams.js";
import type { ChunkGetResult } from "./chunks/ChunkGetResult.js";

declare module "../peers/PeerMethods.js" {
    /** The peer calls between configuration loaders. */
    interface PeerMethods {
        [PeerMethod.GetChunks]: { params: ChunkGetParams; result: ChunkGetResult; };
    }
}
