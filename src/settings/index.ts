export type { EntrySettings } from "./EntrySettings.js";
export { entrySettingsSchema } from "./entrySettingsSchema.js";
export { isAddress } from "./isAddress.js";
export type { OperatorSettings } from "./OperatorSettings.js";
export { parseEntrySettings } from "./parseEntrySettings.js";
export { Policy } from "./Policy.js";
