import type { Head } from "./Head.js";

/**
 * The head as a change writes it; the head store sets the version and the change list. Removed sections,
 * retired chunks and the audit key keep their values if left out.
 */
export type HeadContent = Omit<Head, "version" | "changes" | "lastAuditKey"> & {
    /** The store key of the change's audit record. */
    readonly auditKey?: string;
    /** Digest of the change's contents. */
    readonly changeDigest?: string;
};
