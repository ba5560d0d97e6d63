import type { Head } from "./Head.js";

/**
 * What a change makes of the head; version and change list are the head store's. Removed sections,
 * retired chunks and the audit key stay as they were if left out.
 */
export type HeadContent = Omit<Head, "version" | "changes" | "lastAuditKey"> & {
    /** The store key of the change's audit record. */
    readonly auditKey?: string;
    /** Digest of what the change does. */
    readonly changeDigest?: string;
};
