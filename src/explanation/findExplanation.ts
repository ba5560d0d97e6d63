import type { Explanation } from "./Explanation.js";
import { findCausalOrder } from "./findCausalOrder.js";
import { findCause } from "./findCause.js";
import { readLogs } from "./readLogs.js";

/**
 * Finds what became of a request, from the logs of the hosts alone.
 * @param requestId - The request.
 * @param files - Log files of the hosts, one host a file or several.
 */
export async function findExplanation(requestId: string, files: readonly string[]): Promise<Explanation> {
    const { decisions, context, findings } = await readLogs(requestId, files);
    const path = findCausalOrder(decisions, requestId);
    return { requestId, path, cause: findCause(path, context, requestId), findings };
}
