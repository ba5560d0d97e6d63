import { FindingsError } from "../errors/index.js";

/**
 * Parses the text of a settings file; throws a FindingsError if it is not valid JSON.
 * @param text - The text.
 */
export function parseSettingsText(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (error) {
        throw new FindingsError([{ place: "settings", message: (error as Error).message }]);
    }
}
