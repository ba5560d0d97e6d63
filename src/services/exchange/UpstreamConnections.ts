import type { Upstream } from "../../configuration/index.js";
import type { Clock } from "../../time/index.js";
import { UpstreamConnection } from "./UpstreamConnection.js";

/** A connection that received a response within this time counts as live, in milliseconds. */
const LIVE_SPAN_MS = 1_000;

/** A pool of connections to one upstream, bounded by its limit. */
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
     * Claims an idle connection, or opens one; undefined at the limit.
     * @param upstream - The upstream, with its connection limit.
     * @param requestId - The id by which the upstream knows the request.
     * @param isFresh - Whether an idle connection may be used only if it received a response recently.
     */
    claim(upstream: Upstream, requestId: string, isFresh: boolean): UpstreamConnection | undefined {
        const newest = this.#idle.findLast(connection => connection.isUsableFor(requestId));
        if (newest !== undefined && (!isFresh || newest.hasAnsweredWithin(LIVE_SPAN_MS))) {
            this.#idle.splice(this.#idle.lastIndexOf(newest), 1);
            this.#busy.add(newest);
            newest.recordUse();
            return newest;
        }
        return this.#open(upstream);
    }

    /**
     * Returns a connection to the pool, or closes it if it may not carry further requests.
     * @param connection - The connection, whose last response was complete.
     */
    release(connection: UpstreamConnection): void {
        if (!connection.isReusable()) {
            this.remove(connection);
        }
        else if (this.#busy.delete(connection)) {
            connection.recordAnswer();
            this.#idle.push(connection);
        }
    }

    /**
     * Removes a connection from the pool and closes it.
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

    /** Closes all connections and interrupts the requests that run on them. */
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
