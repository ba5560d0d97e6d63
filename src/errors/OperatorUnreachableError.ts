import { FuchsiapathError } from "./FuchsiapathError.js";

/** No entry host answered an operator's request; a host may still have received it. */
export class OperatorUnreachableError extends FuchsiapathError {
    /** Whether the request certainly did not reach any host. */
    readonly isNotSent: boolean;

    /**
     * @param failures - The error at each address.
     * @param isNotSent - Whether the request certainly did not reach any host.
     */
    constructor(failures: readonly string[], isNotSent: boolean) {
        super(`No entry host could be reached.\n${failures.join("\n")}`);
        this.isNotSent = isNotSent;
    }
}
