import type { PeerMethod } from "../../peers/index.js";
import type { ClaimRetryParams } from "./ClaimRetryParams.js";
import type { ClaimRetryResult } from "./ClaimRetryResult.js";
import type { FindOutcomeParams } from "./FindOutcomeParams.js";
import type { FindOutcomeResult } from "./FindOutcomeResult.js";
import type { IsServingResult } from "./IsServingResult.js";
import type { RecordSenderEndParams } from "./RecordSenderEndParams.js";
import type { RemoveCrashParams } from "./RemoveCrashParams.js";
import type { RemoveCrashResult } from "./RemoveCrashResult.js";
import type { ShareBaselineParams } from "./ShareBaselineParams.js";
import type { ShareBaselineResult } from "./ShareBaselineResult.js";

declare module "../../peers/PeerMethods.js" {
    /** The calls between service hosts. */
    interface PeerMethods {
        [PeerMethod.ShareBaseline]: { params: ShareBaselineParams; result: ShareBaselineResult; };
        [PeerMethod.FindOutcome]: { params: FindOutcomeParams; result: FindOutcomeResult; };
        [PeerMethod.IsServing]: { params: Record<string, never>; result: IsServingResult; };
        [PeerMethod.ClaimRetry]: { params: ClaimRetryParams; result: ClaimRetryResult; };
        [PeerMethod.RecordSenderEnd]: { params: RecordSenderEndParams; result: Record<string, never>; };
        [PeerMethod.RemoveCrash]: { params: RemoveCrashParams; result: RemoveCrashResult; };
    }
}
