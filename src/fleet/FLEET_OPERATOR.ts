/** The operator of test fleets. */
export const FLEET_OPERATOR = {
    name: "fleet-operator",
    token: "an-operator-token-for-test-fleets-only",
} as const;
