import { FuchsiapathError } from "./FuchsiapathError.js";

/** A peer did not answer. */
export class PeerUnavailableError extends FuchsiapathError {
    /** Whether the request certainly did not reach the peer, for example because the connection was refused. */
    readonly isNotSent: boolean;

    /**
     * @param message - A description of the failure.
     * @param isNotSent - Whether the request certainly did not reach the peer.
     * @param options - The cause, if any.
     */
    constructor(message: string, isNotSent: boolean, options?: ErrorOptions) {
        super(message, options);
        this.isNotSent = isNotSent;
    }
}
