import type { Configuration, DetectionSettings, Service, Upstream } from "../configuration/index.js";
import { DecisionHistory } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import { PeerHandlers } from "../peers/index.js";
import { SeededRandom } from "../random/index.js";
import type { ServiceAnswer, ServiceRequest } from "../services/index.js";
import { ServiceHost } from "../services/index.js";
import { FakeClock } from "./FakeClock.js";
import { FakeUpstreams } from "./FakeUpstreams.js";
import type { ServiceBenchOptions } from "./ServiceBenchOptions.js";

const DETECTION: DetectionSettings = {
    healthyErrorRate: 0.02,
    failingErrorRate: 0.3,
    ejectThreshold: 12,
    slowFactor: 3,
    probationMs: 5_000,
};

const MS_PER_SECOND = 1_000;
/** Time for the last requests of a load to end, in milliseconds. */
const END_MS = 2_000;

/** One service host with fake upstreams of one service in one zone. */
export class ServiceBench {
    readonly clock = new FakeClock();
    readonly random: SeededRandom;
    readonly upstreams: FakeUpstreams;
    readonly decisions: DecisionHistory;
    readonly handlers = new PeerHandlers();
    readonly host: ServiceHost;
    service: Service;
    weights: Readonly<Record<string, number>> = {};
    #nextRequest = 0;

    /** @param options - Options that differ from the defaults. */
    constructor(options: ServiceBenchOptions = {}) {
        this.random = new SeededRandom(options.seed ?? 1);
        this.upstreams = new FakeUpstreams({
            clock: this.clock,
            random: this.random,
            serviceTimeMs: 20,
            ...options.fakes,
        });
        this.decisions = new DecisionHistory(this.clock);
        this.service = {
            name: "orders",
            upstreams: Array.from(
                { length: options.upstreams ?? 5 },
                (_, index) => createUpstream(index, options.slots ?? 6),
            ),
            floor: 0.5,
            retryBudget: 0.2,
            queuePerSlot: 4,
            detection: { ...DETECTION, ...options.detection },
            ...options.service,
        };
        this.host = new ServiceHost({
            clock: this.clock,
            random: this.random,
            transport: this.upstreams,
            handlers: this.handlers,
            peers: options.peers ?? { send: () => Promise.reject(new Error("There are no peers.")) },
            membership: {
                getSelf: () => ({ peerAddress: "own" }),
                getView: () => ({ version: 1, members: [] }),
                getServiceHosts: (_: string, zone: string) => [
                    ...(options.isFirstOfTwo === true ? [{ peerAddress: "own" }] : []),
                    { peerAddress: `host-of-${zone}`, id: `host-of-${zone}` },
                ],
            } as unknown as Membership,
            decisions: this.decisions,
            policy: options.policy,
            lateAnswerMs: options.lateAnswerMs,
        });
        this.apply({});
    }

    /**
     * Applies a change of the service.
     * @param change - The fields that change.
     */
    apply(change: Partial<Service>): void {
        this.service = { ...this.service, ...change };
        this.host.apply({
            getService: () => this.service,
            getAccount: (name: string) => ({ name, rate: this.weights[name] ?? 1, burst: 1 }),
        } as unknown as Configuration);
    }

    /**
     * Sends a request and reads its answer's body to the end.
     * @param request - Fields that differ from the default lookup.
     * @param signal - Aborted when the caller disconnects.
     */
    async send(request: Partial<ServiceRequest> = {}, signal = new AbortController().signal): Promise<ServiceAnswer> {
        const answer = await this.host.run({
            requestId: `r${this.#nextRequest++}`,
            account: "shop",
            service: "orders",
            zone: "a",
            method: "GET",
            path: "/orders",
            headers: {},
            body: Buffer.alloc(0),
            isIdempotent: true,
            timeoutMs: 1_000,
            sentBefore: 0,
            excludedUpstreams: [],
            ...request,
        }, signal);
        await readBody(answer.outcome);
        return answer;
    }

    /**
     * Sends requests at a rate with exponentially distributed intervals while the clock runs; returns all answers.
     * @param ratePerSecond - Requests per second.
     * @param durationMs - For how long, in milliseconds.
     * @param request - Fields that differ from the default lookup.
     */
    async sendLoad(
        ratePerSecond: number,
        durationMs: number,
        request: Partial<ServiceRequest> = {},
    ): Promise<ServiceAnswer[]> {
        const answers: Promise<ServiceAnswer>[] = [];
        const end = this.clock.getTime() + durationMs;
        while (this.clock.getTime() < end) {
            answers.push(this.send(request));
            await this.clock.wait(-Math.log(1 - this.random.getNext()) * MS_PER_SECOND / ratePerSecond);
        }
        return await Promise.all(answers);
    }

    /**
     * Sends requests at a rate in virtual time and waits until they have ended.
     * @param ratePerSecond - Requests per second.
     * @param durationMs - For how long, in milliseconds.
     * @param request - Fields that differ from the default lookup.
     */
    async runLoad(
        ratePerSecond: number,
        durationMs: number,
        request: Partial<ServiceRequest> = {},
    ): Promise<ServiceAnswer[]> {
        const load = this.sendLoad(ratePerSecond, durationMs, request);
        await this.clock.run(durationMs + END_MS);
        return await load;
    }

    /** Gets the state of each upstream. */
    getStates(): string[] {
        return this.host.getStatus().map(status => status.state);
    }
}

function createUpstream(index: number, slots: number): Upstream {
    return { name: `u${index}`, address: `127.0.0.1:${9_000 + index}`, zone: "a", slots, connections: 330 };
}

async function readBody(outcome: Outcome): Promise<void> {
    if (outcome.kind === OutcomeKind.Done) {
        await outcome.body.toArray().catch(() => {});
    }
}
