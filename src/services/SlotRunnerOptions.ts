import type { AttemptRecorder } from "./AttemptRecorder.js";
import type { AttemptRunnerOptions } from "./AttemptRunnerOptions.js";
import type { FirstByteLimit } from "./FirstByteLimit.js";
import type { OutcomeCache } from "./OutcomeCache.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import type { SlotUsage } from "./SlotUsage.js";

/** What runs requests in claimed slots. */
export interface SlotRunnerOptions extends AttemptRunnerOptions {
    readonly outcomes: OutcomeCache;
    readonly recorder: AttemptRecorder;
    readonly limit: FirstByteLimit;
    readonly budget: RetryBudget;
    /** Gets the mean time that a request uses a slot, in milliseconds. */
    readonly getSlotTime: () => number;
    /** Runs when a slot is free again. */
    readonly onRelease: (pooled: PooledUpstream, request: ServiceRequest, use: SlotUsage) => void;
}
