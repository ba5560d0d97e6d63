import { ProcessFleet } from "../../src/fleet/index.js";
import { createHttpRun, parseExperiment } from "../../src/load/index.js";
import type { LoadReport } from "../../src/load/index.js";
import { Policy } from "../../src/settings/index.js";
import { ServiceTimeKind } from "../../src/standins/index.js";
import { SystemClock } from "../../src/time/index.js";

/** Below the range of ephemeral ports. */
const FIRST_PORT = 10_000;
const PORTS_PER_FLEET = 500;
const UPSTREAM_OFFSET = 400;
const FLEET_SLOTS = 20;
const HOSTS_PER_ZONE = 2;
const LOOKUP_LIFETIME_MS = 1000;
const HOLD_OFF_MS = 8000;
const LARGE_BYTES = 500_000;
const SERVICE_TIME_MS = 15;
const DURATION_MS = 8000;

/** A fleet of separate processes under load, for tests that need real time and connections. */
export class ProcessBench {
    readonly fleet: ProcessFleet;
    readonly #clock = new SystemClock();

    /** Creates the fleet; its ports depend on the process id, so that concurrent test runs use different ports. */
    constructor() {
        const basePort = FIRST_PORT + (process.pid % FLEET_SLOTS) * PORTS_PER_FLEET;
        this.fleet = new ProcessFleet({
            example: "examples/kelom",
            hostsPerZone: HOSTS_PER_ZONE,
            basePort,
            upstreamPort: basePort + UPSTREAM_OFFSET,
            policy: Policy.Standard,
            upstreams: {
                serviceTime: { kind: ServiceTimeKind.Exponential, ms: SERVICE_TIME_MS },
                largeBytes: LARGE_BYTES,
            },
            lookupLifetimeMs: LOOKUP_LIFETIME_MS,
        });
    }

    /** Starts the fleet and waits until its account hosts admit requests. */
    async start(): Promise<void> {
        await this.fleet.start();
        await this.fleet.applyDocument();
        await this.#clock.wait(HOLD_OFF_MS);
    }

    /**
     * Runs load with faults and returns the audited report.
     * @param faults - Faults of the experiment.
     */
    async run(faults: readonly object[]): Promise<LoadReport> {
        const accounts = ["shop-semarang", "shop-solo", "shop-kudus"].map(name => ({
            name,
            rate: 10,
            callers: 2,
            mix: [
                { kind: "lookup", path: "/stock/soles", weight: 5 },
                { kind: "order", path: "/orders", weight: 4, resendShare: 0.2, bodyBytes: 100 },
                { kind: "bulk", path: "/pattern-books/large", weight: 1 },
            ],
        }));
        const content = { name: "faults", durationMs: DURATION_MS, accounts, faults };
        return await createHttpRun(parseExperiment(content, this.fleet.getPlace()), this.#clock).run();
    }
}
