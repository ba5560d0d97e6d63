import { FuchsiapathError } from "./FuchsiapathError.js";

/** A switch met a variant that its type doesn't have. */
export class UnexpectedVariantError extends FuchsiapathError {
    /** @param variant - The value met. */
    constructor(variant: never) {
        super(`Unexpected variant: ${JSON.stringify(variant)}`);
    }
}
