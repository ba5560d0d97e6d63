/** The burst of each client account in scenarios, in requests. */
export const SCENARIO_BURST = 40;
