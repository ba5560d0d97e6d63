import type { PeerMethod } from "../peers/index.js";
import type { RecordCrashParams } from "./RecordCrashParams.js";
import type { RecordCrashResult } from "./RecordCrashResult.js";

declare module "../peers/PeerMethods.js" {
    /** The peer calls between account hosts. */
    interface PeerMethods {
        [PeerMethod.RecordCrash]: { params: RecordCrashParams; result: RecordCrashResult; };
    }
}
