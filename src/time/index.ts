export type { Clock } from "./Clock.js";
export { runWithTimeout } from "./runWithTimeout.js";
export type { ScheduledCall } from "./ScheduledCall.js";
export { SystemClock } from "./SystemClock.js";
