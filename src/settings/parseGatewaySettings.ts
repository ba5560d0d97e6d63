import { parseValue } from "../utils/index.js";
import type { GatewaySettings } from "./GatewaySettings.js";
import { gatewaySettingsSchema } from "./gatewaySettingsSchema.js";
import { parseSettingsText } from "./parseSettingsText.js";

/**
 * Parses a gateway's settings; throws a FindingsError with all validation errors.
 * @param text - The settings file's text.
 */
export function parseGatewaySettings(text: string): GatewaySettings {
    return parseValue(gatewaySettingsSchema, parseSettingsText(text));
}
