import { parseIncarnation } from "./parseIncarnation.js";

/**
 * Whether the first of two processes of a host was started before the second; false if either start time is unknown.
 * @param first - The incarnation id of the first process.
 * @param second - The incarnation id of the second process.
 */
export function isEarlierIncarnation(first: string, second: string): boolean {
    const [firstTime, secondTime] = [parseIncarnation(first), parseIncarnation(second)];
    return firstTime !== undefined && secondTime !== undefined && firstTime < secondTime;
}
