import { PeerMethod } from "./PeerMethod.js";
import { PeerTrafficKind } from "./PeerTrafficKind.js";

/**
 * Gets the kind of traffic to which the calls of a method belong.
 * @param method - The method.
 */
export function getTrafficKind(method: PeerMethod): PeerTrafficKind {
    switch (method) {
        case PeerMethod.BorrowTokens:
        case PeerMethod.ReceiveTokens:
        case PeerMethod.HandOverRates:
        case PeerMethod.SpendToken:
        case PeerMethod.HandOverTokens:
            return PeerTrafficKind.Tokens;
        case PeerMethod.ShareBaseline:
        case PeerMethod.RemoveCrash:
        case PeerMethod.RecordCrash:
        case PeerMethod.RecordSenderEnd:
            return PeerTrafficKind.Sharing;
        case PeerMethod.GetChunks:
        case PeerMethod.PullGossip:
        case PeerMethod.GetHead:
        case PeerMethod.GetInstalled:
        case PeerMethod.EditView:
        case PeerMethod.PullReplica:
            return PeerTrafficKind.Copies;
        case PeerMethod.FindOutcome:
        case PeerMethod.FindOrder:
        case PeerMethod.ClaimOrder:
        case PeerMethod.HandOverOrders:
            return PeerTrafficKind.Outcomes;
        case PeerMethod.Probe:
        case PeerMethod.IsServing:
        case PeerMethod.ClaimRetry:
        case PeerMethod.CheckHost:
        case PeerMethod.CheckOwner:
            return PeerTrafficKind.Checks;
    }
}
