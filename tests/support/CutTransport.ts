import type { Upstream } from "../../src/configuration/index.js";
import type {
    ServiceRequest,
    UpstreamAnswer,
    UpstreamSendOptions,
    UpstreamTransport,
} from "../../src/services/index.js";
import { UpstreamAnswerKind } from "../../src/services/index.js";
import type { Clock } from "../../src/time/index.js";

/** One host's transport to upstreams, which drops all messages to some of them. */
export class CutTransport implements UpstreamTransport {
    readonly #clock: Clock;
    readonly #transport: UpstreamTransport;
    readonly #isCut: (upstream: string) => boolean;

    /**
     * @param clock - The source of time.
     * @param transport - Sends to the upstreams that are not cut off.
     * @param isCut - Whether the host is cut off from an upstream now.
     */
    constructor(clock: Clock, transport: UpstreamTransport, isCut: (upstream: string) => boolean) {
        this.#clock = clock;
        this.#transport = transport;
        this.#isCut = isCut;
    }

    /**
     * Sends one request; to an upstream that is cut off, it ends with a timeout.
     * @param upstream - The upstream.
     * @param request - The request.
     * @param options - Limits of this attempt.
     */
    async send(upstream: Upstream, request: ServiceRequest, options: UpstreamSendOptions): Promise<UpstreamAnswer> {
        if (!this.#isCut(upstream.name)) {
            return await this.#transport.send(upstream, request, options);
        }
        await this.#clock.wait(options.firstByteTimeoutMs, options.signal).catch(() => undefined);
        return { kind: options.signal.aborted ? UpstreamAnswerKind.Aborted : UpstreamAnswerKind.TimedOut };
    }

    /**
     * Closes idle connections to an upstream.
     * @param upstream - The upstream.
     */
    closeIdle(upstream: Upstream): void {
        this.#transport.closeIdle(upstream);
    }
}
