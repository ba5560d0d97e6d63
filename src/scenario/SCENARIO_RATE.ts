/** The rate of each client account in scenarios, in requests per second. */
export const SCENARIO_RATE = 40;
