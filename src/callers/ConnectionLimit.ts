import type { Socket } from "node:net";
import type { ConnectionLimitOptions } from "./ConnectionLimitOptions.js";

/** Bounds the open connections: beyond the limit the one that was idle longest is closed, or the new one if none is idle. */
export class ConnectionLimit<T extends Pick<Socket, "destroy">> {
    readonly #options: ConnectionLimitOptions;
    readonly #open = new Set<T>();
    /** Connections without a request in progress, those that were idle longest first. */
    readonly #idle = new Set<T>();

    /** @param options - The limit, and what is done beyond it. */
    constructor(options: ConnectionLimitOptions) {
        this.#options = options;
    }

    /** Gets the number of open connections. */
    getCount(): number {
        return this.#open.size;
    }

    /**
     * Adds a new connection, which is idle.
     * @param connection - The connection.
     */
    add(connection: T): void {
        const { maxConnections, closeSlowest, onClosed } = this.#options;
        if (this.#open.size >= maxConnections) {
            const [longestIdle] = this.#idle;
            onClosed();
            if (longestIdle === undefined) {
                closeSlowest();
                connection.destroy();
                return;
            }
            this.remove(longestIdle);
            longestIdle.destroy();
        }
        this.#open.add(connection);
        this.#idle.add(connection);
    }

    /**
     * Removes a connection that has closed.
     * @param connection - The connection.
     */
    remove(connection: T): void {
        this.#open.delete(connection);
        this.#idle.delete(connection);
    }

    /**
     * Records that a connection has a request in progress, or none any more.
     * @param connection - The connection.
     * @param isBusy - Whether it has one.
     */
    record(connection: T, isBusy: boolean): void {
        this.#idle.delete(connection);
        if (!isBusy && this.#open.has(connection)) {
            this.#idle.add(connection);
        }
    }
}
