const MS_PER_MINUTE = 60_000;

/** Lifetime and memory limits of order records. */
export const ORDER_LIMITS = {
    /** How long a record is kept after its order was last started or finished. */
    recordLifetimeMs: 15 * MS_PER_MINUTE,
    /** How long after a prefix's issue a missing record proves that no order ran; must be less than `recordLifetimeMs`. */
    notRunProofLifetimeMs: 14 * MS_PER_MINUTE,
    /** How long after its issue a prefix may be used to start an order. */
    prefixLifetimeMs: 10 * MS_PER_MINUTE,
    /** Maximum number of records on a host. */
    maxRecords: 100_000,
    /** Maximum number of records for one account, so that one account can't use up the host's limit. */
    maxRecordsOfAccount: 25_000,
    /** Maximum stored body of one order, in bytes. */
    maxBodyBytes: 65_536,
    /** Maximum size of all stored bodies, in bytes of base64 text; the oldest are removed first. */
    maxAllBodyBytes: 16_777_216,
} as const;
