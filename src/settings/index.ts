export type { EntrySettings } from "./EntrySettings.js";
export { entrySettingsSchema } from "./entrySettingsSchema.js";
export type { GatewaySettings } from "./GatewaySettings.js";
export { gatewaySettingsSchema } from "./gatewaySettingsSchema.js";
export { isAddress } from "./isAddress.js";
export type { OperatorSettings } from "./OperatorSettings.js";
export { parseEntrySettings } from "./parseEntrySettings.js";
export { parseGatewaySettings } from "./parseGatewaySettings.js";
export { Policy } from "./Policy.js";
