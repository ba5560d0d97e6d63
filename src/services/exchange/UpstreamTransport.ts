import type { Upstream } from "../../configuration/index.js";
import type { ServiceRequest } from "../ServiceRequest.js";
import type { UpstreamAnswer } from "./UpstreamAnswer.js";
import type { UpstreamSendOptions } from "./UpstreamSendOptions.js";

/** Sends requests to upstreams. */
export interface UpstreamTransport {
    /**
     * Sends one request; never rejects.
     * @param upstream - The upstream to send to.
     * @param request - The request to send.
     * @param options - Limits of this attempt.
     */
    send(upstream: Upstream, request: ServiceRequest, options: UpstreamSendOptions): Promise<UpstreamAnswer>;
    /**
     * Closes idle connections to an upstream, for example after a timeout on one of them.
     * @param upstream - The upstream.
     */
    closeIdle(upstream: Upstream): void;
}
