/** How long a confirmation of the head lets a host serve, in milliseconds. */
export const FRESHNESS_BOUND_MS = 3_000;
