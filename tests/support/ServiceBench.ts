import type { Configuration, DetectionSettings, Service, Upstream } from "../../src/configuration/index.js";
import { FakeClock, FakeUpstreams } from "../../src/fakes/index.js";
import type { FakeUpstreamsOptions } from "../../src/fakes/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import type { Membership } from "../../src/membership/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import type { PeerTransport } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import type { EjectionPolicy, ServiceAnswer, ServiceRequest } from "../../src/services/index.js";
import { ServiceHost } from "../../src/services/index.js";

const DETECTION: DetectionSettings = {
    healthyErrorRate: 0.02,
    failingErrorRate: 0.3,
    ejectThreshold: 12,
    slowFactor: 3,
    probationMs: 5_000,
};

/** One service host before fake upstreams of one service in one zone. */
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

    /**
     * @param options - Seed, upstreams and what else differs from the usual.
     */
    constructor(
        options: {
            seed?: number;
            policy?: EjectionPolicy;
            service?: Partial<Service>;
            count?: number;
            slots?: number;
            fakes?: Partial<FakeUpstreamsOptions>;
            detection?: Partial<DetectionSettings>;
        } = {},
    ) {
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
                { length: options.count ?? 5 },
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
            peers: { send: () => Promise.reject(new Error("no peers")) } as PeerTransport,
            membership: {
                getSelf: () => ({ peerAddress: "127.0.0.1:1" }),
                getServiceHosts: () => [],
            } as unknown as Membership,
            decisions: this.decisions,
            policy: options.policy,
        });
        this.apply({});
    }

    /**
     * Applies a change of the service.
     * @param change - What changes.
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
     * @param request - What differs from a usual lookup.
     * @param signal - Aborted when the caller leaves.
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
            excludedUpstreams: [],
            ...request,
        }, signal);
        await readBody(answer.outcome);
        return answer;
    }

    /**
     * Sends requests at a rate with random gaps, in virtual time.
     * @param ratePerSecond - Requests a second.
     * @param durationMs - For how long, in milliseconds.
     * @param request - What differs from a usual lookup.
     */
    async runLoad(
        ratePerSecond: number,
        durationMs: number,
        request: Partial<ServiceRequest> = {},
    ): Promise<ServiceAnswer[]> {
        const answers: Promise<ServiceAnswer>[] = [];
        const end = this.clock.getTime() + durationMs;
        const sendNext = (): void => {
            if (this.clock.getTime() < end) {
                answers.push(this.send(request));
                this.clock.schedule(-Math.log(1 - this.random.getNext()) * 1_000 / ratePerSecond, sendNext);
            }
        };
        sendNext();
        await this.clock.run(durationMs + 2_000);
        return await Promise.all(answers);
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
