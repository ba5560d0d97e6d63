import { FuchsiapathError } from "./FuchsiapathError.js";

/** A peer gave no answer. */
export class PeerUnavailableError extends FuchsiapathError {
    /** Whether the request can't have reached the peer, for example because the connection was refused. */
    readonly isNotSent: boolean;

    /**
     * @param message - What went wrong.
     * @param isNotSent - Whether the request can't have reached the peer.
     * @param options - The cause, if any.
     */
    constructor(message: string, isNotSent: boolean, options?: ErrorOptions) {
        super(message, options);
        this.isNotSent = isNotSent;
    }
}
