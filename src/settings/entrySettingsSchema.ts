import * as z from "zod";
import { isAddress } from "./isAddress.js";
import { Policy } from "./Policy.js";

const MIN_SECRET_LENGTH = 16;
const DEFAULT_LOOKUP_LIFETIME_MS = 5000;
const DEFAULT_HOST_LIST_LAG_MS = 10_000;
const DEFAULT_STOP_TIMEOUT_MS = 30_000;

const address = z.string().refine(isAddress, "must be an IP number and a port, such as 127.0.0.1:8080");
const name = z.string().regex(/^[A-Za-z0-9-]{1,64}$/, "must be 1 to 64 letters, digits or hyphens");
const operator = z.strictObject({ name, tokenHash: z.string().min(1) });

/** The schema of an entry host's settings file. */
export const entrySettingsSchema = z.strictObject({
    id: name,
    region: name,
    zone: name,
    callerAddress: address,
    peerAddress: address,
    operatorAddress: address,
    storeAddress: address,
    hostListAddress: address,
    seedPeers: z.array(address).default([]),
    peerSecret: z.string().min(MIN_SECRET_LENGTH),
    operators: z.array(operator).default([]),
    policy: z.enum(Policy).default(Policy.Standard),
    lookupLifetimeMs: z.int().min(100).max(600_000).default(DEFAULT_LOOKUP_LIFETIME_MS),
    hostListLagMs: z.int().min(0).max(3_600_000).default(DEFAULT_HOST_LIST_LAG_MS),
    stopTimeoutMs: z.int().min(0).max(3_600_000).default(DEFAULT_STOP_TIMEOUT_MS),
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
});
