import * as z from "zod";
import { isAddress } from "./isAddress.js";

const address = z.string().refine(isAddress, "must be an IP number and a port, such as 127.0.0.1:8080");
const name = z.string().min(1);
const fraction = z.number().min(0).max(1);
const seconds = z.number().min(0);

/** The schema of a gateway's settings file. */
export const gatewaySettingsSchema = z.object({
    id: name,
    region: name,
    zone: name,
    /** Where callers send their requests. */
    callerAddress: address,
    /** Where the platform asks whether this host is ready. */
    readyAddress: address,
    /** Where callers ask which addresses to use. */
    lookupAddress: address,
    peerAddress: address,
    metricsAddress: address,
    storeAddress: address,
    /** From the signal to stop until the process is killed. */
    graceSeconds: seconds,
    /** The longest time that callers keep a lookup's answer. */
    lookupSeconds: seconds,
    /** Share of a core that the process may use. */
    cpuShare: z.number().positive().default(1),
    /** How many times as fast that core is. */
    cores: z.number().positive().default(1),
    /** Rate of the host's own link, in megabits per second. */
    linkMbps: z.number().positive().default(1),
    /** Share of a service's upstreams that ejection leaves at work. */
    floor: fraction,
    /** Repeated sends allowed as a share of a service's requests. */
    retryBudget: fraction,
    /** Repeated sends allowed beyond that share, within each window. */
    retrySlack: z.number().min(0),
    retryWindowSeconds: z.number().positive(),
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
});
