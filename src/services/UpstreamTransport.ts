import type { Upstream } from "../configuration/index.js";
import type { ServiceRequest } from "./ServiceRequest.js";
import type { UpstreamAnswer } from "./UpstreamAnswer.js";
import type { UpstreamSendOptions } from "./UpstreamSendOptions.js";

/** Sends requests to upstreams. */
export interface UpstreamTransport {
    /**
     * Sends one request; never rejects.
     * @param upstream - Where to.
     * @param request - What to send.
     * @param options - Limits of this attempt.
     */
    send(upstream: Upstream, request: ServiceRequest, options: UpstreamSendOptions): Promise<UpstreamAnswer>;
    /**
     * Closes idle connections to an upstream, for example after one of them has gone silent.
     * @param upstream - The upstream.
     */
    closeIdle(upstream: Upstream): void;
}
