export { HttpStore } from "./HttpStore.js";
export type { HttpStoreOptions } from "./HttpStoreOptions.js";
export type { Store } from "./Store.js";
export { STORE_VALUE_LIMIT_BYTES } from "./STORE_VALUE_LIMIT_BYTES.js";
export { StoreMethod } from "./StoreMethod.js";
export type { StoreRecord } from "./StoreRecord.js";
export type { WriteResult } from "./WriteResult.js";
export { WriteResultKind } from "./WriteResultKind.js";
