import { randomBytes } from "node:crypto";
import type { Clock } from "../time/index.js";
import { formatIncarnation } from "./formatIncarnation.js";

const RANDOM_BYTES = 4;

/**
 * Creates the incarnation id of a process, unique for each start.
 * @param clock - The source of time.
 */
export function createIncarnation(clock: Clock): string {
    return formatIncarnation(Math.floor(clock.getWallTime()), randomBytes(RANDOM_BYTES).toString("hex"));
}
