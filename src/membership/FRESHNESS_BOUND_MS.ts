/** How long a host may serve after a confirmation that its head is the newest, in milliseconds. */
export const FRESHNESS_BOUND_MS = 3_000;
