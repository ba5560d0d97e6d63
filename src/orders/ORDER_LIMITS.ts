const MS_PER_MINUTE = 60_000;

/** The limits of order records in time and memory. */
export const ORDER_LIMITS = {
    /** How long a record is kept after its last dispatch. */
    recordLifetimeMs: 15 * MS_PER_MINUTE,
    /** How long after a prefix's issue the lack of a record proves that no order ran; less than a record's lifetime. */
    notRunProofLifetimeMs: 14 * MS_PER_MINUTE,
    /** How long after its issue a prefix may start an order. */
    prefixLifetimeMs: 10 * MS_PER_MINUTE,
    /** Records kept on a host. */
    maxRecords: 100_000,
    /** Records kept for one account, so that none takes the place of the others. */
    maxRecordsOfAccount: 25_000,
    /** The largest body kept for one order. */
    maxBodyBytes: 65_536,
    /** All bodies kept; the oldest go first. */
    maxAllBodyBytes: 16_777_216,
} as const;
