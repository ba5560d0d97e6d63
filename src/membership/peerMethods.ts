import type { PeerMethod } from "../peers/index.js";
import type { GossipAnswer } from "./GossipAnswer.js";
import type { GossipRequest } from "./GossipRequest.js";
import type { HeadAnswer } from "./HeadAnswer.js";
import type { HeadRequest } from "./HeadRequest.js";
import type { InstalledVersionAnswer } from "./InstalledVersionAnswer.js";
import type { InstalledVersionRequest } from "./InstalledVersionRequest.js";
import type { ProbeAnswer } from "./ProbeAnswer.js";
import type { ProbeRequest } from "./ProbeRequest.js";
import type { ViewEdit } from "./ViewEdit.js";
import type { ViewEditAnswer } from "./ViewEditAnswer.js";

declare module "../peers/PeerMethods.js" {
    /** The calls between members. */
    interface PeerMethods {
        [PeerMethod.PullGossip]: { params: GossipRequest; result: GossipAnswer; };
        [PeerMethod.GetHead]: { params: HeadRequest; result: HeadAnswer; };
        [PeerMethod.GetInstalled]: { params: InstalledVersionRequest; result: InstalledVersionAnswer; };
        [PeerMethod.Probe]: { params: ProbeRequest; result: ProbeAnswer; };
        [PeerMethod.EditView]: { params: ViewEdit; result: ViewEditAnswer; };
    }
}
