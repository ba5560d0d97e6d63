import type { AttemptRecorder } from "../detection/AttemptRecorder.js";
import type { AttemptRunnerOptions } from "../exchange/AttemptRunnerOptions.js";
import type { FirstByteLimit } from "../exchange/FirstByteLimit.js";
import type { OutcomeCache } from "../outcomes/OutcomeCache.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { SlotUsage } from "./SlotUsage.js";

/** Dependencies and settings of a slot runner. */
export interface SlotRunnerOptions extends AttemptRunnerOptions {
    readonly outcomes: OutcomeCache;
    readonly recorder: AttemptRecorder;
    readonly limit: FirstByteLimit;
    readonly budget: RetryBudget;
    /** Gets the time for which a request is expected to use a slot, in milliseconds. */
    readonly getSlotTime: (request: ServiceRequest) => number;
    /** Runs when a slot is released. */
    readonly onRelease: (pooled: PooledUpstream, request: ServiceRequest, use: SlotUsage) => void;
}
