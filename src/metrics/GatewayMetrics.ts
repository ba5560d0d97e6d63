import type { Polka } from "polka";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { DecisionRecord } from "../logging/index.js";
import type { MemoryFigures } from "../memory/index.js";
import type { Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { PeerTrafficCount } from "../peers/index.js";

const MS_PER_SECOND = 1_000;
const BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 4, 8];

/** A gateway's counters and latency histogram, exported as text for Prometheus. */
export class GatewayMetrics {
    readonly #registry = new Registry();
    readonly #durations = new Histogram({
        name: "fuchsiapath_request_duration_seconds",
        help: "Time until the first byte of the answer, by outcome.",
        labelNames: ["outcome"],
        buckets: BUCKETS_S,
        registers: [this.#registry],
    });
    readonly #decisions = new Counter({
        name: "fuchsiapath_decisions_total",
        help: "Decisions by kind and service.",
        labelNames: ["decision", "service"],
        registers: [this.#registry],
    });

    readonly #peerBytes = new Counter({
        name: "fuchsiapath_peer_bytes_total",
        help: "Bytes sent to other entry hosts, by what they carry and whether the receiver is in the own zone.",
        labelNames: ["kind", "zone"],
        registers: [this.#registry],
    });

    /**
     * @param getDroppedLogLines - Gets the number of log lines dropped so far.
     * @param getCopyAge - Gets the time since the replica of the store was last known to be current, in milliseconds.
     * @param getMemory - Gets what callers' requests hold, by kind.
     * @param getFindingCount - Gets the number of findings on the configuration in force.
     */
    constructor(
        getDroppedLogLines: () => number,
        getCopyAge: () => number,
        getMemory: () => readonly MemoryFigures[],
        getFindingCount: () => number,
    ) {
        const held: Gauge<"kind"> = new Gauge({
            name: "fuchsiapath_memory_held_bytes",
            help: "What callers' requests hold in memory, by kind.",
            labelNames: ["kind"],
            registers: [this.#registry],
            collect: () => getMemory().forEach(({ kind, heldBytes }) => held.set({ kind }, heldBytes)),
        });
        const actions: Gauge<"kind" | "action"> = new Gauge({
            name: "fuchsiapath_memory_actions",
            help:
                "Requests refused, evicted or cut and connections closed since the start, as memory or descriptors were short.",
            labelNames: ["kind", "action"],
            registers: [this.#registry],
            collect: () => {
                for (const { kind, actions: counts } of getMemory()) {
                    counts.forEach((count, action) => actions.set({ kind, action }, count));
                }
            },
        });
        const droppedLogLines: Gauge = new Gauge({
            name: "fuchsiapath_log_lines_left_out",
            help: "Log lines that were left out since the start, by the rate limit or a slow reader.",
            registers: [this.#registry],
            collect: () => droppedLogLines.set(getDroppedLogLines()),
        });
        const findings: Gauge = new Gauge({
            name: "fuchsiapath_configuration_findings",
            help: "Findings on entries of the configuration in force that can't be served.",
            registers: [this.#registry],
            collect: () => findings.set(getFindingCount()),
        });
        const copyAge: Gauge = new Gauge({
            name: "fuchsiapath_store_copy_age_seconds",
            help: "How long ago the copy of the platform's store is known to have been current.",
            registers: [this.#registry],
            collect: () => copyAge.set(getCopyAge() / MS_PER_SECOND),
        });
    }

    /**
     * Records the duration of a request.
     * @param outcome - The outcome.
     * @param durationMs - Time to the first byte of the answer, in milliseconds.
     */
    recordDuration(outcome: Outcome, durationMs: number): void {
        const label = outcome.kind === OutcomeKind.Done ? `status-${outcome.status}` : outcome.reason;
        this.#durations.observe({ outcome: label }, durationMs / MS_PER_SECOND);
    }

    /**
     * Records a decision.
     * @param record - The decision.
     */
    recordDecision(record: DecisionRecord): void {
        this.#decisions.inc({ decision: record.decision, service: record.service ?? "" });
    }

    /**
     * Records bytes that were sent to another entry host.
     * @param count - The bytes, their kind and zone.
     */
    recordPeerBytes({ kind, isOwnZone, bytes }: PeerTrafficCount): void {
        this.#peerBytes.inc({ kind, zone: isOwnZone ? "own" : "other" }, bytes);
    }

    /**
     * Adds the endpoint that serves the metrics.
     * @param app - The listener's application.
     */
    addRoute(app: Polka): void {
        app.get("/metrics", (_request, response) => {
            void this.#registry.metrics().then(text => {
                response.writeHead(200, { "content-type": this.#registry.contentType }).end(text);
            });
        });
    }
}
