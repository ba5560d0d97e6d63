import { FuchsiapathError } from "./FuchsiapathError.js";

/** An audit record is missing or doesn't match the digest in its key. */
export class AuditTrailBrokenError extends FuchsiapathError {
    /** @param key - The record's store key. */
    constructor(key: string) {
        super(`The audit record ${key} is missing or was changed.`);
    }
}
