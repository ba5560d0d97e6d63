import type { Outcome } from "../outcomes/index.js";
import type { CallerRequest } from "./CallerRequest.js";

/** Runs a caller's request on an account host, here or on another entry host. */
export interface AccountRunner {
    /**
     * Runs the request; never rejects.
     * @param request - The request.
     * @param signal - Aborted when the caller disconnects.
     */
    run(request: CallerRequest, signal: AbortSignal): Promise<Outcome>;
}
