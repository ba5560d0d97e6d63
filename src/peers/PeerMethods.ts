import type { RecordCrashParams, RecordCrashResult } from "../accounts/index.js";
import type { ChunkGetParams, ChunkGetResult } from "../configuration/index.js";
import type {
    GossipAnswer,
    GossipRequest,
    HeadAnswer,
    HeadRequest,
    InstalledAnswer,
    InstalledRequest,
    ProbeAnswer,
    ProbeRequest,
    ViewEdit,
    ViewEditAnswer,
} from "../membership/index.js";
import type {
    ClaimAnswer,
    ClaimOrderParams,
    FindOrderParams,
    FindOrderResult,
    HandOverOrdersParams,
    HandOverOrdersResult,
} from "../orders/index.js";
import type {
    BorrowTokensParams,
    BorrowTokensResult,
    HandOverRatesParams,
    HandOverRatesResult,
    ReceiveTokensParams,
    ReceiveTokensResult,
    SpendTokenParams,
    SpendTokenResult,
} from "../rates/index.js";
import type { PushReplicaParams, PushReplicaResult } from "../replica/index.js";
import type {
    FindOutcomeParams,
    FindOutcomeResult,
    IsServingResult,
    RemoveCrashParams,
    RemoveCrashResult,
    ShareBaselineParams,
    ShareBaselineResult,
} from "../services/index.js";
import type { PeerMethod } from "./PeerMethod.js";

/** The parameters and the result of each call between entry hosts; all are JSON values. */
export interface PeerMethods {
    [PeerMethod.GetChunks]: { params: ChunkGetParams; result: ChunkGetResult; };
    [PeerMethod.PullGossip]: { params: GossipRequest; result: GossipAnswer; };
    [PeerMethod.GetHead]: { params: HeadRequest; result: HeadAnswer; };
    [PeerMethod.GetInstalled]: { params: InstalledRequest; result: InstalledAnswer; };
    [PeerMethod.Probe]: { params: ProbeRequest; result: ProbeAnswer; };
    [PeerMethod.EditView]: { params: ViewEdit; result: ViewEditAnswer; };
    [PeerMethod.ShareBaseline]: { params: ShareBaselineParams; result: ShareBaselineResult; };
    [PeerMethod.FindOutcome]: { params: FindOutcomeParams; result: FindOutcomeResult; };
    [PeerMethod.IsServing]: { params: Record<string, never>; result: IsServingResult; };
    [PeerMethod.RemoveCrash]: { params: RemoveCrashParams; result: RemoveCrashResult; };
    [PeerMethod.BorrowTokens]: { params: BorrowTokensParams; result: BorrowTokensResult; };
    [PeerMethod.ReceiveTokens]: { params: ReceiveTokensParams; result: ReceiveTokensResult; };
    [PeerMethod.HandOverRates]: { params: HandOverRatesParams; result: HandOverRatesResult; };
    [PeerMethod.HandOverOrders]: { params: HandOverOrdersParams; result: HandOverOrdersResult; };
    [PeerMethod.FindOrder]: { params: FindOrderParams; result: FindOrderResult; };
    [PeerMethod.ClaimOrder]: { params: ClaimOrderParams; result: ClaimAnswer; };
    [PeerMethod.PushReplica]: { params: PushReplicaParams; result: PushReplicaResult; };
    [PeerMethod.SpendToken]: { params: SpendTokenParams; result: SpendTokenResult; };
    [PeerMethod.RecordCrash]: { params: RecordCrashParams; result: RecordCrashResult; };
}
