/** Length of an upstream entry's other fields, in bytes. */
const REST_LENGTH = 300;

/**
 * Creates the value of an upstream entry in the platform's store, for tests.
 * @param state - State of the upstream.
 * @param sequence - Sequence number of the renewal.
 */
export function createUpstreamValue(state: "ready" | "draining", sequence: number): string {
    return JSON.stringify({ state, sequence, rest: "x".repeat(REST_LENGTH) });
}
