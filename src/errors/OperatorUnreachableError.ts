import { FuchsiapathError } from "./FuchsiapathError.js";

/** No entry host answered an operator's request; a host may have received it all the same. */
export class OperatorUnreachableError extends FuchsiapathError {
    /** Whether no host can have received the request. */
    readonly isNotSent: boolean;

    /**
     * @param failures - What went wrong at each address.
     * @param isNotSent - Whether no host can have received the request.
     */
    constructor(failures: readonly string[], isNotSent: boolean) {
        super(`No entry host could be reached.\n${failures.join("\n")}`);
        this.isNotSent = isNotSent;
    }
}
