import { FakeLink } from "../../src/fakes/index.js";
import type { FakeClock } from "../../src/fakes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { PeerMethod, PeerMethods } from "../../src/peers/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import type { ServiceAnswer, ServiceRequest, ServiceRunner } from "../../src/services/index.js";
import type { HostPower } from "./HostPower.js";

/** Processor time of a whole core that a request takes at its service host, in milliseconds; the platform's bench charged as much. */
const REQUEST_WORK_MS = 4;
/** The same for a call. */
const CALL_WORK_MS = 0.5;
/** A request, or a call or its answer, with headers. */
const MESSAGE_BYTES = 500;
const BITS_PER_BYTE = 8;
const BYTES_PER_MS_AND_MBPS = 1_000 / BITS_PER_BYTE;

interface UnloadedHost {
    readonly handlers: PeerHandlers;
    readonly serviceRunner: ServiceRunner;
}

/** A service host on the fake network whose processor and link carry one thing after the other. */
export class LoadedHost implements UnloadedHost {
    readonly handlers: PeerHandlers;
    readonly serviceRunner: ServiceRunner;
    readonly #host: UnloadedHost;
    readonly #processor: FakeLink;
    readonly #up: FakeLink;
    readonly #down: FakeLink;

    /**
     * @param clock - The source of time.
     * @param host - What it answers with.
     * @param power - What it can carry.
     */
    constructor(clock: FakeClock, host: UnloadedHost, { cores, linkMbps }: HostPower) {
        this.#host = host;
        this.#processor = new FakeLink(clock, cores);
        this.#up = new FakeLink(clock, linkMbps * BYTES_PER_MS_AND_MBPS);
        this.#down = new FakeLink(clock, linkMbps * BYTES_PER_MS_AND_MBPS);
        this.handlers = new LoadedHandlers(host.handlers, work => this.#runLoaded(CALL_WORK_MS, work));
        this.serviceRunner = { run: (request, signal) => this.#runRequest(request, signal) };
    }

    async #runRequest(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        return await this.#runLoaded(REQUEST_WORK_MS, async () => {
            const answer = await this.#host.serviceRunner.run(request, signal);
            if (answer.outcome.kind === OutcomeKind.Done) {
                const bytes = Number(answer.outcome.headers["content-length"] ?? 0);
                await this.#down.send(bytes);
                await this.#up.send(bytes);
            }
            return answer;
        });
    }

    async #runLoaded<R>(workMs: number, work: () => Promise<R>): Promise<R> {
        await this.#down.send(MESSAGE_BYTES);
        await this.#processor.send(workMs);
        const result = await work();
        await this.#up.send(MESSAGE_BYTES);
        return result;
    }
}

class LoadedHandlers extends PeerHandlers {
    readonly #handlers: PeerHandlers;
    readonly #runLoaded: <R>(work: () => Promise<R>) => Promise<R>;

    constructor(handlers: PeerHandlers, carry: <R>(work: () => Promise<R>) => Promise<R>) {
        super();
        this.#handlers = handlers;
        this.#runLoaded = carry;
    }

    override async run<M extends PeerMethod>(
        method: M,
        params: PeerMethods[M]["params"],
    ): Promise<PeerMethods[M]["result"]> {
        return await this.#runLoaded(() => this.#handlers.run(method, params));
    }
}
