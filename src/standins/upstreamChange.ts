import { z } from "zod";
import { upstreamFaults } from "./upstreamFaults.js";

const actions = z.strictObject({
    /** The upstreams that the change is for; all if left out. */
    upstreams: z.array(z.string()),
    /** Stops all traffic on the connections that are open now. */
    stopTraffic: z.literal(true),
    /** Crashes the upstream. */
    crash: z.literal(true),
});

const faults = z.strictObject(
    {
        ...Object.fromEntries(Object.entries(upstreamFaults.shape).map(([name, schema]) => [name, schema.unwrap()])),
    } as { [Name in keyof typeof upstreamFaults.shape]: ReturnType<(typeof upstreamFaults.shape)[Name]["unwrap"]>; },
);

/** A change of upstream stand-ins by their control endpoint; faults that are left out stay as they were. */
export const upstreamChange = z.strictObject({ ...actions.shape, ...faults.shape }).partial();
