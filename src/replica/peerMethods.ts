import type { PeerMethod } from "../peers/index.js";
import type { PushReplicaParams } from "./PushReplicaParams.js";
import type { PushReplicaResult } from "./PushReplicaResult.js";

declare module "../peers/PeerMethods.js" {
    /** The calls between replica keepers. */
    interface PeerMethods {
        [PeerMethod.PushReplica]: { params: PushReplicaParams; result: PushReplicaResult; };
    }
}
