import type { Explanation } from "./Explanation.js";
import { findCausalOrder } from "./findCausalOrder.js";
import { findCause } from "./findCause.js";
import { readLogs } from "./readLogs.js";

/**
 * Explains why a request ended as it did, from the hosts' log files only.
 * @param requestId - The request's id.
 * @param files - Paths of the hosts' log files; a file may hold the lines of several hosts.
 */
export async function findExplanation(requestId: string, files: readonly string[]): Promise<Explanation> {
    const { decisions, context, findings } = await readLogs(requestId, files);
    const path = findCausalOrder(decisions, requestId);
    return { requestId, path, cause: findCause(path, context, requestId), findings };
}
