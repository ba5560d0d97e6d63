const FIRST_FAILURE_STATUS = 500;
/** Statuses that say that the upstream would not run the request now; without a proof of it, it may have run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

/**
 * Whether another attempt of a request, at this upstream or another one, would hardly be answered better than with this status.
 * @param status - The status of an upstream's answer.
 */
export function isDefiniteStatus(status: number): boolean {
    return status < FIRST_FAILURE_STATUS && !REFUSAL_STATUSES.has(status);
}
