import {
    type Account,
    type AccountKey,
    type ConfigurationDocument,
    type DetectionSettings,
    type Route,
    RouteAccess,
    RouteKind,
    type Service,
} from "../../src/configuration/index.js";

const DETECTION: DetectionSettings = {
    healthyErrorRate: 0.01,
    failingErrorRate: 0.5,
    ejectThreshold: 5,
    slowFactor: 4,
    probationMs: 1000,
};

/** Creates a small document of three sections: accounts of "office", catalogue of "lookups", orders of "sales". */
export function createTestDocument(): ConfigurationDocument {
    return {
        sections: {
            accounts: {
                owners: ["office"],
                accounts: ["shop-1", "shop-2"].map(createAccount),
                keys: [createKeyRecord()],
            },
            catalogue: {
                owners: ["lookups"],
                routes: [createRoute("catalogue", RouteKind.Lookup)],
                services: [createService("catalogue", 21_000)],
            },
            orders: {
                owners: ["sales", "office"],
                routes: [createRoute("orders", RouteKind.Order)],
                services: [createService("orders", 22_000)],
            },
        },
    };
}

function createAccount(name: string): Account {
    return { name, rate: 10, burst: 20 };
}

function createKeyRecord(): AccountKey {
    return { id: "k1", account: "shop-1", salt: "A".repeat(22), hash: "B".repeat(43) };
}

function createRoute(name: string, kind: RouteKind): Route {
    return {
        name,
        path: `/${name}`,
        methods: ["GET", "POST"],
        service: name,
        kind,
        access: RouteAccess.Accounts,
        deadlineMs: 2000,
        maxBodyBytes: 1024,
    };
}

function createService(name: string, port: number): Service {
    const upstreams = ["a", "b", "c"].map((zone, index) => ({
        name: `${name}-${index}`,
        address: `127.0.0.1:${port + index}`,
        zone,
        slots: 2,
        connections: 300,
    }));
    return { name, upstreams, floor: 0.5, retryBudget: 0.1, queuePerSlot: 8, detection: DETECTION };
}
