export { runCommandLine } from "./commands/index.js";
export { ExitCode } from "./ExitCode.js";
export { OperatorApi } from "./OperatorApi.js";
export type { OperatorApiOptions } from "./OperatorApiOptions.js";
