import type { Readable } from "node:stream";
import { readBody } from "../utils/index.js";
import type { Problem } from "./Problem.js";

const MAX_PROBLEM_BYTES = 65_536;

/**
 * Reads a problem document; its reason is "no-reason" if it names none.
 * @param status - The answer's status.
 * @param body - The answer's body.
 */
export async function readProblem(status: number, body: Readable): Promise<Problem> {
    const bytes = await readBody(body, MAX_PROBLEM_BYTES);
    return { status, reason: findReason(bytes?.toString("utf8") ?? "") ?? "no-reason" };
}

function findReason(text: string): string | undefined {
    try {
        return (JSON.parse(text) as { reason?: string; } | null)?.reason;
    }
    catch {
        return undefined;
    }
}
