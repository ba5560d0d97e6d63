import { Pool } from "undici";
import type { PeerConnectionsOptions } from "./PeerConnectionsOptions.js";
import { peerProtocol } from "./peerProtocol.js";

const KEEP_ALIVE_MS = 30_000;

/** Persistent connections to other entry hosts, with one pool for each address. */
export class PeerConnections {
    readonly #options: PeerConnectionsOptions;
    readonly #pools = new Map<string, Pool>();

    /** @param options - Limits of the connections. */
    constructor(options: PeerConnectionsOptions) {
        this.#options = options;
    }

    /**
     * Gets the connection pool of a peer and creates it on first use.
     * @param address - The peer's address, as "ip:port".
     */
    get(address: string): Pool {
        const known = this.#pools.get(address);
        if (known !== undefined) {
            return known;
        }
        const pool = this.#createPool(address);
        this.#pools.set(address, pool);
        return pool;
    }

    /**
     * Closes the connections to all peers except the given ones.
     * @param addresses - The addresses to keep.
     */
    removeOthers(addresses: ReadonlySet<string>): void {
        for (const [address, pool] of this.#pools) {
            if (!addresses.has(address)) {
                this.#pools.delete(address);
                void pool.close();
            }
        }
    }

    /**
     * Removes the pool of a peer whose connections no longer answer; the next call opens a new one, and running requests end normally.
     * @param address - The peer's address.
     */
    remove(address: string): void {
        const pool = this.#pools.get(address);
        this.#pools.delete(address);
        void pool?.close();
    }

    /** Closes all connections at once, also those with running requests. */
    async close(): Promise<void> {
        const pools = [...this.#pools.values()];
        this.#pools.clear();
        await Promise.all(pools.map(pool => pool.destroy()));
    }

    #createPool(address: string): Pool {
        return new Pool(`http://${address}`, {
            connections: this.#options.maxConnections,
            pipelining: 1,
            connect: { timeout: this.#options.connectTimeoutMs },
            keepAliveTimeout: KEEP_ALIVE_MS,
            maxHeaderSize: peerProtocol.maxHeaderBytes,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }
}
