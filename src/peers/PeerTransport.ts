import type { PeerMethod } from "./PeerMethod.js";
import type { PeerMethods } from "./PeerMethods.js";

/** Sends calls to other entry hosts. */
export interface PeerTransport {
    /**
     * Sends a call and waits for its result; rejects with a PeerUnavailableError.
     * @param address - The peer's address, as "ip:port".
     * @param method - The method to call.
     * @param params - Its parameters.
     * @param timeoutMs - How long to wait for the result, in milliseconds.
     */
    send<M extends PeerMethod>(
        address: string,
        method: M,
        params: PeerMethods[M]["params"],
        timeoutMs: number,
    ): Promise<PeerMethods[M]["result"]>;
}
