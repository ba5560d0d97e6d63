import type {
    FindOutcomeParams,
    FindOutcomeResult,
    RemoveCrashParams,
    RemoveCrashResult,
    ShareBaselineParams,
    ShareBaselineResult,
} from "../services/index.js";
import type { PeerMethod } from "./PeerMethod.js";

/** The parameters and the result of each call between entry hosts; all are JSON values. */
export interface PeerMethods {
    [PeerMethod.PullGossip]: { params: { from: string; }; result: { from: string; }; };
    [PeerMethod.ShareBaseline]: { params: ShareBaselineParams; result: ShareBaselineResult; };
    [PeerMethod.FindOutcome]: { params: FindOutcomeParams; result: FindOutcomeResult; };
    [PeerMethod.RemoveCrash]: { params: RemoveCrashParams; result: RemoveCrashResult; };
}
