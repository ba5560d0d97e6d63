import { type AccountKey, RouteAccess, RouteKind, type Section, type Service } from "../configuration/index.js";
import { SCENARIO_BURST } from "./SCENARIO_BURST.js";
import { SCENARIO_RATE } from "./SCENARIO_RATE.js";

const DETECTION = {
    healthyErrorRate: 0.01,
    failingErrorRate: 0.5,
    ejectThreshold: 5,
    slowFactor: 4,
    probationMs: 1_000,
};
const UPSTREAMS_PER_ZONE = 2;
const SLOTS = 4;
const CONNECTIONS = 300;
const DEADLINE_MS = 2_000;
const MAX_BODY_BYTES = 1_024;
const QUEUE_PER_SLOT = 8;
const FIRST_PORT = 21_000;

/**
 * Creates the configuration that scenarios run with: routes "orders" and "catalogue", each with its own service.
 * @param zones - The availability zones of the upstreams.
 * @param keys - The keys of the client accounts.
 */
export function createScenarioDocument(
    zones: readonly string[],
    keys: readonly AccountKey[],
): Readonly<Record<string, Section>> {
    const accounts = keys.map(key => ({ name: key.account, rate: SCENARIO_RATE, burst: SCENARIO_BURST }));
    return {
        accounts: { owners: ["office"], accounts, keys },
        orders: createSection("orders", RouteKind.Order, zones, FIRST_PORT),
        catalogue: createSection("catalogue", RouteKind.Lookup, zones, FIRST_PORT + zones.length * UPSTREAMS_PER_ZONE),
    };
}

function createSection(name: string, kind: RouteKind, zones: readonly string[], firstPort: number): Section {
    return {
        owners: ["office"],
        routes: [{
            name,
            path: `/${name}`,
            methods: ["GET", "POST"],
            service: name,
            kind,
            access: RouteAccess.Accounts,
            deadlineMs: DEADLINE_MS,
            maxBodyBytes: MAX_BODY_BYTES,
        }],
        services: [createService(name, zones, firstPort)],
    };
}

function createService(name: string, zones: readonly string[], firstPort: number): Service {
    const upstreams = Array.from({ length: zones.length * UPSTREAMS_PER_ZONE }, (_, index) => ({
        name: `${name}-${index}`,
        address: `127.0.0.1:${firstPort + index}`,
        zone: zones[index % zones.length]!,
        slots: SLOTS,
        connections: CONNECTIONS,
    }));
    return { name, upstreams, floor: 0.5, retryBudget: 0.1, queuePerSlot: QUEUE_PER_SLOT, detection: DETECTION };
}
