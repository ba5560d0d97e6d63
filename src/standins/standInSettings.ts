import { z } from "zod";
import { hostListChange } from "./hostListChange.js";
import { storeServerFaults } from "./storeServerFaults.js";
import { upstreamSettings } from "./upstreamSettings.js";

const port = z.number().int().min(0).max(65_535).default(0);

/** Settings of the program fuchsiapath-standin, by kind of stand-in. */
export const standInSettings = {
    store: z.strictObject({ port, faults: storeServerFaults.default({}) }),
    hosts: z.strictObject({
        port,
        hosts: hostListChange.shape.hosts.unwrap().default([]),
        lagMs: z.number().min(0).default(0),
    }),
    upstream: z.strictObject({ controlPort: port, upstreams: z.array(upstreamSettings).min(1) }),
};
