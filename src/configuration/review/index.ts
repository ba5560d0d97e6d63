export type { ConfigurationRemark } from "./ConfigurationRemark.js";
export { ConfigurationTable } from "./ConfigurationTable.js";
export { findChanges } from "./findChanges.js";
export { findWarnings } from "./findWarnings.js";
export type { ReviewedConfiguration } from "./ReviewedConfiguration.js";
