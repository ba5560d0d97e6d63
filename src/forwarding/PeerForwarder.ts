import type { Outcome } from "../outcomes/index.js";
import type { CallerRequest } from "../requests/index.js";
import type { ServiceAnswer, ServiceRequest } from "../services/index.js";

/** Forwards requests to other entry hosts. Both methods reject with a PeerUnavailableError if there is no answer. */
export interface PeerForwarder {
    /**
     * Runs an attempt on another entry host in its role as service host.
     * @param address - The peer's address, as "ip:port".
     * @param request - The request.
     * @param signal - Aborts the attempt.
     */
    runService(address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
    /**
     * Runs a caller's request on another entry host in its role as account host.
     * @param address - The peer's address, as "ip:port".
     * @param request - The request.
     * @param signal - Aborts the request.
     */
    runAccount(address: string, request: CallerRequest, signal: AbortSignal): Promise<Outcome>;
}
