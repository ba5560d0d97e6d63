import { FuchsiapathError } from "./FuchsiapathError.js";

/** A switch statement received a value that its type doesn't allow. */
export class UnexpectedVariantError extends FuchsiapathError {
    /** @param variant - The unexpected value. */
    constructor(variant: never) {
        super(`Unexpected variant: ${JSON.stringify(variant)}`);
    }
}
