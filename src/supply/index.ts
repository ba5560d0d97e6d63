export { isRenewal } from "./isRenewal.js";
export type { SuppliedDocument } from "./SuppliedDocument.js";
export { Supply } from "./Supply.js";
export type { SupplyDecoder } from "./SupplyDecoder.js";
export type { SupplyItem } from "./SupplyItem.js";
export { SupplyItemKind } from "./SupplyItemKind.js";
export type { SupplyOptions } from "./SupplyOptions.js";
