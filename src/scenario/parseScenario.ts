import { parseDocument } from "yaml";
import { FindingsError } from "../errors/index.js";
import type { Scenario } from "./Scenario.js";
import { scenarioSchema } from "./scenarioSchema.js";

/**
 * Parses a scenario file; throws a FindingsError with everything that is wrong.
 * @param text - The file's text in YAML.
 */
export function parseScenario(text: string): Scenario {
    const document = parseDocument(text);
    if (document.errors.length > 0) {
        throw new FindingsError(document.errors.map(error => ({
            place: `line ${error.linePos?.[0].line ?? 0}`,
            message: error.message,
        })));
    }
    const result = scenarioSchema.safeParse(document.toJS());
    if (!result.success) {
        throw new FindingsError(result.error.issues.map(issue => ({
            place: issue.path.join(".") || "scenario",
            message: issue.message,
        })));
    }
    return result.data;
}
