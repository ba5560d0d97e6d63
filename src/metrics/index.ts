export { GatewayMetrics } from "./GatewayMetrics.js";
export { RequestMetrics } from "./RequestMetrics.js";
export type { RequestMetricsReport } from "./RequestMetricsReport.js";
