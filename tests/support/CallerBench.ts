import { connect } from "node:net";
import { Readable } from "node:stream";
import { ActiveRequests, AddressLookup, CallerListener, CallerRequestHandler } from "../../src/callers/index.js";
import { createKey, IndexedConfiguration } from "../../src/configuration/index.js";
import type { AccountKey, Configuration, ConfigurationDocument } from "../../src/configuration/index.js";
import { FakeClock, FakeMembership } from "../../src/fakes/index.js";
import type { Member } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import type { AccountRunner, CallerRequest } from "../../src/requests/index.js";
import { SystemClock } from "../../src/time/index.js";
import { createTestDocument } from "./createTestDocument.js";

/** A caller listener on loopback with a fake account host that records the requests it receives. */
export class CallerBench implements AccountRunner {
    readonly key = createKey("shop-1");
    readonly secret = this.key.text.split(".")[1]!;
    readonly clock = new FakeClock();
    readonly membership: FakeMembership;
    readonly activeRequests = new ActiveRequests();
    readonly received: CallerRequest[] = [];
    /** Creates the answer to each request. */
    createOutcome: (request: CallerRequest) => Outcome | Promise<Outcome> = createEmptyAnswer;
    /** Aborted when the callers of the received requests have left. */
    readonly signals: AbortSignal[] = [];
    #configuration: Configuration;
    readonly #listener: CallerListener;
    #port = 0;

    /** Creates the listener. */
    constructor() {
        const self = createMember("a", "127.0.0.1:1");
        const members = [self, createMember("b", "127.0.0.1:2")];
        this.membership = new FakeMembership(self, { version: 1, members });
        this.#configuration = this.#createConfiguration(this.key.record, 1);
        const gate = new CallerRequestHandler({
            membership: this.membership,
            decisions: new DecisionHistory(this.clock),
            activeRequests: this.activeRequests,
            accountRunner: this,
            getConfiguration: () => this.#configuration,
        });
        this.#listener = new CallerListener({
            requestHandler: gate,
            lookup: new AddressLookup({ membership: this.membership, clock: this.clock, lifetimeMs: 5000 }),
            findOrder: async () => createNotRun(RefusalReason.MalformedRequest, "There is no such order."),
            recordDuration: () => {},
            clock: new SystemClock(),
        });
    }

    /** Starts to listen. */
    async start(): Promise<void> {
        this.#port = await this.#listener.start("127.0.0.1:0");
    }

    /** Gets the URL at which callers reach the listener. */
    getUrl(): string {
        return `http://127.0.0.1:${this.#port}`;
    }

    /** Closes all connections and stops listening. */
    async stop(): Promise<void> {
        this.#listener.closeConnections();
        await this.#listener.stop();
    }

    /** Stops listening after the answers in progress. */
    async drain(): Promise<void> {
        await this.#listener.stop();
    }

    /** Withdraws the key by a change of the configuration. */
    removeKey(): void {
        this.#configuration = this.#createConfiguration({ ...this.key.record, withdrawn: true }, 2);
        this.activeRequests.cancelRequestsWithInvalidKeys(this.#configuration);
    }

    /**
     * Runs a request that passed the checks.
     * @param request - The request.
     * @param signal - Aborted when the caller has left.
     */
    async run(request: CallerRequest, signal: AbortSignal): Promise<Outcome> {
        this.received.push(request);
        this.signals.push(signal);
        return await this.createOutcome(request);
    }

    /**
     * Sends bytes over a new connection and returns a function that closes it.
     * @param text - The bytes; "KEY" is replaced by the key.
     */
    open(text: string): () => void {
        const socket = connect(this.#port, "127.0.0.1").on("error", () => {});
        socket.write(text.replaceAll("KEY", this.key.text), "latin1");
        return () => socket.destroy();
    }

    /**
     * Sends bytes over a new connection and returns everything received until it closes.
     * @param text - The bytes; "KEY" is replaced by the key.
     */
    async send(text: string): Promise<string> {
        const socket = connect(this.#port, "127.0.0.1");
        let answer = "";
        socket.setEncoding("latin1").on("data", (part: string) => answer += part);
        socket.write(text.replaceAll("KEY", this.key.text), "latin1");
        await new Promise(resolve => socket.once("close", resolve).once("error", () => {}));
        return answer;
    }

    #createConfiguration(record: AccountKey, version: number): Configuration {
        const document = createTestDocument();
        const accounts = { ...document.sections.accounts!, keys: [record] };
        const changed: ConfigurationDocument = { sections: { ...document.sections, accounts } };
        return new IndexedConfiguration(version, changed);
    }
}

function createEmptyAnswer(): Outcome {
    return { kind: OutcomeKind.Done, status: 200, headers: { "content-length": "0" }, body: Readable.from([]) };
}

function createMember(id: string, address: string): Member {
    return { id, region: "r", zone: "a", peerAddress: address, callerAddress: address, incarnation: "1-x" };
}
