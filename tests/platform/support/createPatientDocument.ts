import { createDocument } from "./createDocument.js";

const MS_PER_SECOND = 1_000;

/**
 * Creates a configuration whose orders have another time limit; hosts expect them to take as long as before.
 * @param timeLimitMs - The limit, in milliseconds.
 */
export function createPatientDocument(timeLimitMs: number): Record<string, unknown> {
    const document = createDocument();
    const routes = document["routes"] as Record<string, Record<string, unknown>>;
    return {
        ...document,
        routes: { ...routes, "r-order": { ...routes["r-order"], timeout_s: timeLimitMs / MS_PER_SECOND } },
    };
}
