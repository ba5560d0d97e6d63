import { FuchsiapathError } from "./FuchsiapathError.js";

/** A record of the audit trail is missing or differs from the digest that names it. */
export class AuditTrailBrokenError extends FuchsiapathError {
    /** @param key - The record's store key. */
    constructor(key: string) {
        super(`The audit record ${key} is missing or was changed.`);
    }
}
