import type { PeerMethod } from "../peers/index.js";
import type { BorrowTokensParams } from "./BorrowTokensParams.js";
import type { BorrowTokensResult } from "./BorrowTokensResult.js";
import type { HandOverRatesParams } from "./HandOverRatesParams.js";
import type { HandOverRatesResult } from "./HandOverRatesResult.js";
import type { CheckOwnerParams } from "./owned/CheckOwnerParams.js";
import type { CheckOwnerResult } from "./owned/CheckOwnerResult.js";
import type { HandOverTokensParams } from "./owned/HandOverTokensParams.js";
import type { HandOverTokensResult } from "./owned/HandOverTokensResult.js";
import type { SpendTokenParams } from "./owned/SpendTokenParams.js";
import type { SpendTokenResult } from "./owned/SpendTokenResult.js";
import type { ReceiveTokensParams } from "./ReceiveTokensParams.js";
import type { ReceiveTokensResult } from "./ReceiveTokensResult.js";

declare module "../peers/PeerMethods.js" {
    /** The peer calls of the rate limiters. */
    interface PeerMethods {
        [PeerMethod.BorrowTokens]: { params: BorrowTokensParams; result: BorrowTokensResult; };
        [PeerMethod.ReceiveTokens]: { params: ReceiveTokensParams; result: ReceiveTokensResult; };
        [PeerMethod.HandOverRates]: { params: HandOverRatesParams; result: HandOverRatesResult; };
        [PeerMethod.HandOverTokens]: { params: HandOverTokensParams; result: HandOverTokensResult; };
        [PeerMethod.CheckOwner]: { params: CheckOwnerParams; result: CheckOwnerResult; };
        [PeerMethod.SpendToken]: { params: SpendTokenParams; result: SpendTokenResult; };
    }
}
