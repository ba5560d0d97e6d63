export type { Store } from "./Store.js";
export type { StoreRecord } from "./StoreRecord.js";
export type { WriteResult } from "./WriteResult.js";
export { WriteResultKind } from "./WriteResultKind.js";
