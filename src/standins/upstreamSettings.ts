import { z } from "zod";
import { ServiceTimeKind } from "./ServiceTimeKind.js";
import { upstreamFaults } from "./upstreamFaults.js";

const DEFAULT_QUEUE_MS = 200;
const DEFAULT_RETRY_AFTER_MS = 1_000;
const DEFAULT_CRASH_DOWN_MS = 2_000;
const DEFAULT_REPORT_LAG_MS = 2_000;
const DEFAULT_LARGE_BYTES = 4_194_304;
const DEFAULT_SERVICE_TIME = { kind: ServiceTimeKind.Exponential, ms: 20 } as const;

const duration = z.number().min(0);
const serviceTime = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal(ServiceTimeKind.Fixed), ms: duration }),
    z.strictObject({ kind: z.literal(ServiceTimeKind.Exponential), ms: duration }),
    z.strictObject({ kind: z.literal(ServiceTimeKind.LogNormal), medianMs: duration, sigma: duration }),
]);

/** Settings of one upstream stand-in; times are in milliseconds. */
export const upstreamSettings = z.strictObject({
    name: z.string().min(1),
    port: z.number().int().min(0).max(65_535).default(0),
    slots: z.number().int().positive(),
    connections: z.number().int().positive(),
    /** Requests that may wait for a slot; more are shed. */
    queue: z.number().int().min(0).default(0),
    /** How long a request may wait for a slot. */
    queueMs: duration.default(DEFAULT_QUEUE_MS),
    retryAfterMs: duration.default(DEFAULT_RETRY_AFTER_MS),
    serviceTime: serviceTime.default(DEFAULT_SERVICE_TIME),
    /** How long work is slower after a start. */
    coldStartMs: duration.default(0),
    coldStartFactor: z.number().min(1).default(1),
    /** How long connections are refused after a crash. */
    crashDownMs: duration.default(DEFAULT_CRASH_DOWN_MS),
    /** How old the answers of the health and load endpoints are. */
    reportLagMs: duration.default(DEFAULT_REPORT_LAG_MS),
    /** How long the health and load endpoints take. */
    probeMs: duration.default(0),
    /** Size of the answers whose path ends with "/large", in bytes. */
    largeBytes: z.number().int().min(0).default(DEFAULT_LARGE_BYTES),
    seed: z.number().int().default(1),
    faults: upstreamFaults.prefault({}),
});
