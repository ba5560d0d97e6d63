import type { Service } from "../../configuration/index.js";

const SLOTS = 6;
const FIRST_PORT = 1_024;
const PORTS = 64_000;

/**
 * Creates a service whose upstreams stand in zone "a".
 * @param name - Its name.
 * @param upstreams - How many upstreams it has.
 */
export function createCapacityService(name: string, upstreams: number): Service {
    return {
        name,
        upstreams: Array.from({ length: upstreams }, (_, index) => ({
            name: `${name}-${index}`,
            address: `127.0.0.1:${FIRST_PORT + index % PORTS}`,
            zone: "a",
            slots: SLOTS,
            connections: 330,
        })),
        floor: 0.5,
        retryBudget: 0.2,
        queuePerSlot: 100_000,
        detection: {
            healthyErrorRate: 0.02,
            failingErrorRate: 0.4,
            ejectThreshold: 12,
            slowFactor: 3,
            probationMs: 2_000,
        },
    };
}
