export { createLogger } from "./createLogger.js";
export { Decision } from "./Decision.js";
export type { DecisionFilter } from "./DecisionFilter.js";
export { DecisionHistory } from "./DecisionHistory.js";
export type { DecisionLog } from "./DecisionLog.js";
export type { DecisionRecord } from "./DecisionRecord.js";
export type { TimedDecision } from "./TimedDecision.js";
