import { z } from "zod";

const key = z.string().min(1);
const revision = z.number().int().min(0);

/** Parameters of the store's calls, checked as they come in. */
export const storeParams = {
    get: z.object({ key }),
    compareAndSwap: z.object({
        key,
        value: z.string(),
        expectedRevision: revision,
        leaseId: z.string().optional(),
    }),
    remove: z.object({ key, expectedRevision: revision }),
    watch: z.object({ key, knownRevision: revision, waitMs: z.number().min(0) }),
    createLease: z.object({ durationMs: z.number().positive() }),
    lease: z.object({ leaseId: z.string() }),
};
