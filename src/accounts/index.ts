export { AccountHost } from "./AccountHost.js";
export type { AccountHostOptions } from "./AccountHostOptions.js";
export { AccountRouter } from "./AccountRouter.js";
export type { AccountRouterOptions } from "./AccountRouterOptions.js";
export type { AccountRunner } from "./AccountRunner.js";
export type { CallerRequest } from "./CallerRequest.js";
export type { RecordCrashParams } from "./RecordCrashParams.js";
export type { RecordCrashResult } from "./RecordCrashResult.js";
