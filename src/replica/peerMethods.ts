import type { PeerMethod } from "../peers/index.js";
import type { CheckHostParams } from "./CheckHostParams.js";
import type { CheckHostResult } from "./CheckHostResult.js";
import type { PullReplicaParams } from "./PullReplicaParams.js";
import type { PullReplicaResult } from "./PullReplicaResult.js";

declare module "../peers/PeerMethods.js" {
    /** The peer calls of the replica synchronizers. */
    interface PeerMethods {
        [PeerMethod.PullReplica]: { params: PullReplicaParams; result: PullReplicaResult; };
        [PeerMethod.CheckHost]: { params: CheckHostParams; result: CheckHostResult; };
    }
}
