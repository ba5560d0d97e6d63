import { z } from "zod";

const host = z.strictObject({ address: z.string().min(1), leaving: z.boolean().default(false) });

/** A change of the host list stand-in by its control endpoint; what is left out stays as it was. */
export const hostListChange = z.strictObject({
    hosts: z.array(host),
    addHost: host,
    removeHost: z.string(),
    lagMs: z.number().min(0),
    isAway: z.boolean(),
}).partial();
