export { isRenewal } from "./isRenewal.js";
export type { StoreItem } from "./StoreItem.js";
export type { StoreItemDecoder } from "./StoreItemDecoder.js";
export { StoreItemKind } from "./StoreItemKind.js";
export type { SuppliedDocument } from "./SuppliedDocument.js";
export { Supply } from "./Supply.js";
export type { SupplyOptions } from "./SupplyOptions.js";
