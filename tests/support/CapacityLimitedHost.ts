import { FakeLink } from "../../src/fakes/index.js";
import type { FakeClock } from "../../src/fakes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { PeerMethod, PeerMethods } from "../../src/peers/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import type { ServiceAnswer, ServiceRequest, ServiceRunner } from "../../src/services/index.js";
import type { HostCapacity } from "./HostCapacity.js";

/** Time of one core that a request takes at its service host, in milliseconds, as in the platform's load test. */
const REQUEST_WORK_MS = 4;
/** Time of one core that a call between hosts takes, in milliseconds. */
const CALL_WORK_MS = 0.5;
/** Length of a request, of a call or of its answer with headers, in bytes. */
const MESSAGE_BYTES = 500;
const BITS_PER_BYTE = 8;
const BYTES_PER_MS_AND_MBPS = 1_000 / BITS_PER_BYTE;

interface UnlimitedHost {
    readonly handlers: PeerHandlers;
    readonly serviceRunner: ServiceRunner;
}

/** A service host on the fake network whose processor and link have a limited rate. */
export class CapacityLimitedHost implements UnlimitedHost {
    readonly handlers: PeerHandlers;
    readonly serviceRunner: ServiceRunner;
    readonly #host: UnlimitedHost;
    readonly #processor: FakeLink;
    readonly #up: FakeLink;
    readonly #down: FakeLink;

    /**
     * @param clock - The source of time.
     * @param host - The host without limits that runs the calls.
     * @param capacity - Its processor and its link.
     */
    constructor(clock: FakeClock, host: UnlimitedHost, { cores, linkMbps }: HostCapacity) {
        this.#host = host;
        this.#processor = new FakeLink(clock, cores);
        this.#up = new FakeLink(clock, linkMbps * BYTES_PER_MS_AND_MBPS);
        this.#down = new FakeLink(clock, linkMbps * BYTES_PER_MS_AND_MBPS);
        this.handlers = new LimitedHandlers(host.handlers, work => this.#runLimited(CALL_WORK_MS, work));
        this.serviceRunner = {
            run: (request, signal) => this.#runRequest(request, signal),
            recordSenderEnd: params => host.serviceRunner.recordSenderEnd(params),
        };
    }

    async #runRequest(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        return await this.#runLimited(REQUEST_WORK_MS, async () => {
            const answer = await this.#host.serviceRunner.run(request, signal);
            if (answer.outcome.kind === OutcomeKind.Done) {
                const bytes = Number(answer.outcome.headers["content-length"] ?? 0);
                await this.#down.send(bytes);
                await this.#up.send(bytes);
            }
            return answer;
        });
    }

    async #runLimited<R>(workMs: number, work: () => Promise<R>): Promise<R> {
        await this.#down.send(MESSAGE_BYTES);
        await this.#processor.send(workMs);
        const result = await work();
        await this.#up.send(MESSAGE_BYTES);
        return result;
    }
}

class LimitedHandlers extends PeerHandlers {
    readonly #handlers: PeerHandlers;
    readonly #runLimited: <R>(work: () => Promise<R>) => Promise<R>;

    constructor(handlers: PeerHandlers, runLimited: <R>(work: () => Promise<R>) => Promise<R>) {
        super();
        this.#handlers = handlers;
        this.#runLimited = runLimited;
    }

    override async run<M extends PeerMethod>(
        method: M,
        params: PeerMethods[M]["params"],
    ): Promise<PeerMethods[M]["result"]> {
        return await this.#runLimited(() => this.#handlers.run(method, params));
    }
}
