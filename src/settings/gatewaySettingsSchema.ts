import * as z from "zod";
import { isAddress } from "./isAddress.js";

const address = z.string().refine(isAddress, "must be an IP number and a port, such as 127.0.0.1:8080");
const name = z.string().min(1);
const fraction = z.number().min(0).max(1);
const seconds = z.number().min(0);

/** Memory of a small machine, of which most is free, in megabytes. */
const DEFAULT_MEMORY_MEGABYTES = 1_000;
/** Usual limit of a Linux service, in descriptors. */
const DEFAULT_MAX_DESCRIPTORS = 4_096;

/** The schema of a gateway's settings file. */
export const gatewaySettingsSchema = z.object({
    id: name,
    region: name,
    zone: name,
    /** The address that callers send requests to. */
    callerAddress: address,
    /** The address of the readiness check for the platform. */
    readyAddress: address,
    /** The address of the address lookup for callers. */
    lookupAddress: address,
    peerAddress: address,
    metricsAddress: address,
    storeAddress: address,
    /** Time from the termination signal until the process is killed. */
    graceSeconds: seconds,
    /** Maximum time that callers cache a lookup's answer. */
    lookupSeconds: seconds,
    /** Fraction of a CPU core that the process may use. */
    cpuShare: z.number().positive().default(1),
    /** Relative speed of that core. */
    cores: z.number().positive().default(1),
    /** Bandwidth of the host's network link, in megabits per second. */
    linkMbps: z.number().positive().default(1),
    /** Memory that the process may have, in megabytes; the default if the platform names none. */
    memoryMegabytes: z.number().positive().nullish().transform(value => value ?? DEFAULT_MEMORY_MEGABYTES),
    /** Descriptors that the process may have open; the default if the platform names none. */
    maxDescriptors: z.int().positive().nullish().transform(value => value ?? DEFAULT_MAX_DESCRIPTORS),
    /** Minimum fraction of a service's upstreams that ejection must leave in service. */
    floor: fraction,
    /** Retries allowed, as a fraction of a service's requests. */
    retryBudget: fraction,
    /** Retries allowed in addition to that fraction in each window. */
    retrySlack: z.number().min(0),
    retryWindowSeconds: z.number().positive(),
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
});
