import type { PeerMethod } from "../peers/index.js";
import type { ClaimAnswer } from "./ClaimAnswer.js";
import type { ClaimOrderParams } from "./ClaimOrderParams.js";
import type { FindOrderParams } from "./FindOrderParams.js";
import type { FindOrderResult } from "./FindOrderResult.js";
import type { HandOverOrdersParams } from "./HandOverOrdersParams.js";
import type { HandOverOrdersResult } from "./HandOverOrdersResult.js";

declare module "../peers/PeerMethods.js" {
    /** The peer calls that handle orders. */
    interface PeerMethods {
        [PeerMethod.HandOverOrders]: { params: HandOverOrdersParams; result: HandOverOrdersResult; };
        [PeerMethod.FindOrder]: { params: FindOrderParams; result: FindOrderResult; };
        [PeerMethod.ClaimOrder]: { params: ClaimOrderParams; result: ClaimAnswer; };
    }
}
