import type { Upstream } from "../configuration/index.js";
import type { Clock } from "../time/index.js";
import { UpstreamConnection } from "./UpstreamConnection.js";

/** An answer within this time shows that a connection is not silent. */
const PROVEN_SPAN_MS = 1_000;

/** The connections to one upstream, at most its limit. */
export class UpstreamConnections {
    readonly #address: string;
    readonly #clock: Clock;
    readonly #idle: UpstreamConnection[] = [];
    readonly #busy = new Set<UpstreamConnection>();

    /**
     * @param address - The upstream's address, as "ip:port".
     * @param clock - The source of time.
     */
    constructor(address: string, clock: Clock) {
        this.#address = address;
        this.#clock = clock;
    }

    /** Gets the number of connections, idle and busy. */
    getCount(): number {
        return this.#idle.length + this.#busy.size;
    }

    /**
     * Takes an idle connection, or opens one; undefined at the limit.
     * @param upstream - The upstream with its limit.
     * @param isFresh - Whether an idle connection must have been proven lately.
     */
    claim(upstream: Upstream, isFresh: boolean): UpstreamConnection | undefined {
        const newest = this.#idle.at(-1);
        if (newest !== undefined && (!isFresh || newest.hasAnsweredWithin(PROVEN_SPAN_MS))) {
            this.#idle.pop();
            this.#busy.add(newest);
            newest.recordUse();
            return newest;
        }
        return this.#open(upstream);
    }

    /**
     * Gives a connection back for further use.
     * @param connection - The connection, whose last answer was whole.
     */
    release(connection: UpstreamConnection): void {
        if (this.#busy.delete(connection)) {
            connection.recordAnswer();
            this.#idle.push(connection);
        }
    }

    /**
     * Closes a connection for good.
     * @param connection - The connection.
     */
    remove(connection: UpstreamConnection): void {
        this.#busy.delete(connection);
        connection.close();
    }

    /** Closes the idle connections. */
    closeIdle(): void {
        this.#idle.splice(0).forEach(connection => connection.close());
    }

    /** Closes all connections, cutting what runs on them. */
    close(): void {
        this.closeIdle();
        this.#busy.forEach(connection => connection.close());
        this.#busy.clear();
    }

    #open(upstream: Upstream): UpstreamConnection | undefined {
        if (this.getCount() >= upstream.connections) {
            this.#idle.shift()?.close();
        }
        if (this.getCount() >= upstream.connections) {
            return undefined;
        }
        const connection = new UpstreamConnection(this.#address, this.#clock);
        this.#busy.add(connection);
        return connection;
    }
}
