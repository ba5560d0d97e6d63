import type { FinalStatus } from "./FinalStatus.js";

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Whether a value is the status code of a final HTTP response.
 * @param status - The value.
 */
export function isFinalStatus(status: unknown): status is FinalStatus {
    return Number.isInteger(status) && Number(status) >= MIN_STATUS && Number(status) <= MAX_STATUS;
}
