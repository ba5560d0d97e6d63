export type { Clock } from "./Clock.js";
export { runWithTimeout } from "./runWithTimeout.js";
export type { ScheduledCall } from "./ScheduledCall.js";
export type { StallMeter } from "./StallMeter.js";
export { SystemClock } from "./SystemClock.js";
export { TimerStallMeter } from "./TimerStallMeter.js";
