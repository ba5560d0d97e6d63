import type { ServiceRequest } from "../ServiceRequest.js";

/** Multiple of the route's usual time to the first byte after which an attempt is overdue. */
const USUAL_TIME_FACTOR = 2.5;
/** Lower bound, in milliseconds: one lost packet delays an answer by as much. */
const MIN_PATIENCE_MS = 200;
/** Share of the time to the deadline after which an attempt is overdue in any case, so that another one can still be answered. */
const MAX_REMAINING_SHARE = 0.6;

/**
 * Gets the time after which an attempt of an idempotent request makes way for one at another upstream, in milliseconds; undefined if
 * it lasts until the deadline. This serves lookups that are bound to a slow or silent upstream while others have free slots.
 * @param request - The request.
 * @param usualMs - The time within which most answers of its route arrive, in milliseconds; undefined if unknown.
 * @param remainingMs - Time to the deadline, in milliseconds.
 */
export function getPatience(
    { hasOtherAttempt, targetMs }: Pick<ServiceRequest, "hasOtherAttempt" | "targetMs">,
    usualMs: number | undefined,
    remainingMs: number,
): number | undefined {
    const patienceMs = usualMs === undefined ? targetMs : Math.max(MIN_PATIENCE_MS, USUAL_TIME_FACTOR * usualMs);
    return hasOtherAttempt !== true || patienceMs === undefined
        ? undefined
        : Math.min(patienceMs, MAX_REMAINING_SHARE * remainingMs);
}
