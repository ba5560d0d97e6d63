import { z } from "zod";
import { FaultKind } from "./FaultKind.js";
import { RequestKind } from "./RequestKind.js";

const DEFAULT_ANSWER_TIMEOUT_MS = 10_000;
const DEFAULT_LOOKUP_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_RESENDS = 3;
const DEFAULT_RESEND_DELAY_MS = 250;
const DEFAULT_LONGEST_WAIT_MS = 30_000;

const duration = z.number().min(0);
const share = z.number().min(0).max(1);
const name = z.string().min(1);
const path = z.string().startsWith("/");
const method = z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]);

const mix = z.strictObject({
    kind: z.enum(RequestKind),
    path,
    method: method.optional(),
    weight: z.number().positive().default(1),
    /** Share of the finished orders that are sent once more with the same key. */
    resendShare: share.default(0),
    headers: z.record(z.string(), z.string()).default({}),
    bodyBytes: z.number().int().min(0).default(0),
});

const phase = z.strictObject({ atMs: duration, factor: z.number().min(0) });

const account = z.strictObject({
    name,
    /** "keyId.secret"; taken from the key file if left out there and here none is given. */
    key: z.string().regex(/^[^.\s]+\.\S+$/, "must be an id and a secret with a dot between").optional(),
    /** Requests per second. */
    rate: z.number().min(0),
    /** Changes of the rate by a factor at a time. */
    phases: z.array(phase).default([]),
    /** Callers that the account's requests come from; each keeps its own lookup. */
    callers: z.number().int().positive().default(1),
    mix: z.array(mix).min(1),
});

const fault = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal(FaultKind.Control), atMs: duration, target: name, body: z.looseObject({}) }),
    z.strictObject({
        kind: z.literal(FaultKind.Signal),
        atMs: duration,
        process: name,
        signal: z.enum(["SIGKILL", "SIGTERM", "SIGSTOP", "SIGCONT", "SIGINT"]),
    }),
    z.strictObject({
        kind: z.literal(FaultKind.Operator),
        atMs: duration,
        target: name,
        method,
        path: path.optional(),
        headers: z.record(z.string(), z.string()).default({}),
        /** A baseVersion of "current" is replaced by the version in force. */
        body: z.looseObject({}).optional(),
    }),
]);

/** The schema of an experiment file; times are in milliseconds. */
export const experimentSchema = z.strictObject({
    name,
    seed: z.number().int().default(1),
    durationMs: z.number().positive(),
    /** How long outstanding requests are waited for after the end. */
    longestWaitMs: duration.default(DEFAULT_LONGEST_WAIT_MS),
    answerTimeoutMs: z.number().positive().default(DEFAULT_ANSWER_TIMEOUT_MS),
    lookupTimeoutMs: z.number().positive().default(DEFAULT_LOOKUP_TIMEOUT_MS),
    connectTimeoutMs: z.number().positive().default(DEFAULT_CONNECT_TIMEOUT_MS),
    /** Lookups that a caller sends on a connection before the first of them has been answered. */
    requestsAhead: z.number().int().min(1).default(1),
    /** How often a request without an answer is sent again. */
    resends: z.number().int().min(0).default(DEFAULT_RESENDS),
    resendDelayMs: duration.default(DEFAULT_RESEND_DELAY_MS),
    /** Caller addresses of entry hosts to ask for addresses, as "http://ip:port". */
    entries: z.array(z.url()).default([]),
    /** Endpoints with the upstreams' records. */
    records: z.array(z.url()).default([]),
    /** URLs that faults name. */
    targets: z.record(z.string(), z.url()).default({}),
    /** Process ids that faults name. */
    processes: z.record(z.string(), z.number().int().positive()).default({}),
    accounts: z.array(account).min(1),
    faults: z.array(fault).default([]),
});
