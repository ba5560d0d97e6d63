import type { Configuration } from "../../src/configuration/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import type { Membership } from "../../src/membership/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { EjectionPolicy, HttpUpstreamTransport, ServiceHost } from "../../src/services/index.js";
import type { ServiceAnswer, ServiceRequest } from "../../src/services/index.js";
import { SystemClock } from "../../src/time/index.js";
import type { Clock } from "../../src/time/index.js";
import { createServiceRequest } from "./createServiceRequest.js";
import { RawUpstream } from "./RawUpstream.js";

const LATE_ANSWER_MS = 200;
const POLL_MS = 20;
/** Limit of a wait, in milliseconds; far above all expected times, so that a busy machine does not fail a test. */
const LIMIT_MS = 4_000;

/** A service host with real connections to upstreams that answer with raw bytes. */
export class RawBench {
    readonly clock: Clock;
    readonly upstreams: readonly RawUpstream[];
    readonly host: ServiceHost;
    readonly #transport: HttpUpstreamTransport;
    readonly #systemClock = new SystemClock();

    /**
     * @param upstreams - Number of upstreams.
     * @param clock - The service host's clock.
     */
    constructor(upstreams = 1, clock: Clock = new SystemClock()) {
        this.clock = clock;
        this.#transport = new HttpUpstreamTransport(clock);
        this.upstreams = Array.from({ length: upstreams }, () => new RawUpstream());
        this.host = new ServiceHost({
            clock: this.clock,
            random: new SeededRandom(1),
            transport: this.#transport,
            handlers: new PeerHandlers(),
            peers: { send: () => Promise.reject(new Error("There are no peers.")) },
            membership: {
                getSelf: () => ({ peerAddress: "own" }),
                getServiceHosts: () => [],
                getView: () => ({ version: 1, members: [] }),
            } as unknown as Membership,
            decisions: new DecisionHistory(this.clock),
            policy: EjectionPolicy.Prompt,
            lateAnswerMs: LATE_ANSWER_MS,
            endsByDeadline: true,
        });
    }

    /** Starts the upstreams and applies them to the service host. */
    async start(): Promise<void> {
        await Promise.all(this.upstreams.map(upstream => upstream.start()));
        const service = {
            name: "orders",
            upstreams: this.upstreams.map((upstream, index) => upstream.getUpstream(`u${index}`)),
            floor: 0.5,
            retryBudget: 0.2,
            queuePerSlot: 4,
            detection: {
                healthyErrorRate: 0.02,
                failingErrorRate: 0.3,
                ejectThreshold: 12,
                slowFactor: 3,
                probationMs: 5_000,
            },
        };
        this.host.apply({
            getService: () => service,
            getAccount: (name: string) => ({ name, rate: 1, burst: 1 }),
        } as unknown as Configuration);
    }

    /** Stops the service host and the upstreams. */
    stop(): void {
        this.host.stop();
        this.#transport.close();
        this.upstreams.forEach(upstream => upstream.stop());
    }

    /**
     * Runs a request without reading the body of its answer.
     * @param request - Fields that differ from the default lookup.
     * @param signal - Aborted when the caller disconnects.
     */
    async run(request: Partial<ServiceRequest>, signal = new AbortController().signal): Promise<ServiceAnswer> {
        return await this.host.run(createServiceRequest(request), signal);
    }

    /** Waits until no request holds a slot and no connection is open; returns the numbers that remain at the limit. */
    async waitForEnd(): Promise<{ running: number; open: number; }> {
        const end = this.#systemClock.getTime() + LIMIT_MS;
        let remaining = this.#getOpen();
        while (remaining.running + remaining.open > 0 && this.#systemClock.getTime() < end) {
            await this.#systemClock.wait(POLL_MS);
            remaining = this.#getOpen();
        }
        return remaining;
    }

    #getOpen(): { running: number; open: number; } {
        return {
            running: this.host.getStatus().reduce((sum, status) => sum + status.running, 0),
            open: this.upstreams.reduce((sum, upstream) => sum + upstream.getOpenCount(), 0),
        };
    }
}
