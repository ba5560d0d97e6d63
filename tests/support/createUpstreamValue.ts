/** Length of an entry of an upstream without its changing fields. */
const REST_LENGTH = 300;

/**
 * Creates the entry of an upstream as the platform's store holds it, for tests.
 * @param state - Its state.
 * @param sequence - Rises with each of its messages.
 */
export function createUpstreamValue(state: "ready" | "draining", sequence: number): string {
    return JSON.stringify({ state, sequence, rest: "x".repeat(REST_LENGTH) });
}
