export { checkDocument } from "./checkDocument.js";
export type { DocumentCheck } from "./DocumentCheck.js";
export type { DocumentCheckOptions } from "./DocumentCheckOptions.js";
