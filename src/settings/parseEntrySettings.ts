import { FindingsError } from "../errors/index.js";
import type { EntrySettings } from "./EntrySettings.js";
import { entrySettingsSchema } from "./entrySettingsSchema.js";
import { parseSettingsText } from "./parseSettingsText.js";

/**
 * Parses an entry host's settings; throws a FindingsError with all validation errors.
 * @param text - The settings file's text.
 */
export function parseEntrySettings(text: string): EntrySettings {
    const result = entrySettingsSchema.safeParse(parseSettingsText(text));
    if (result.success) {
        return result.data;
    }
    throw new FindingsError(result.error.issues.map(issue => ({
        place: issue.path.length === 0 ? "settings" : issue.path.join("."),
        message: issue.message,
    })));
}
