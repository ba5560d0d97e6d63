export { checkDocument } from "./checkDocument.js";
export type { DocumentCheckOptions } from "./DocumentCheckOptions.js";
export type { DocumentCheckResult } from "./DocumentCheckResult.js";
