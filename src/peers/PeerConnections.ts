import { Pool } from "undici";
import type { PeerConnectionsOptions } from "./PeerConnectionsOptions.js";
import { peerProtocol } from "./peerProtocol.js";

const KEEP_ALIVE_MS = 30_000;

/** The kept connections to other entry hosts, one pool for each address. */
export class PeerConnections {
    readonly #options: PeerConnectionsOptions;
    readonly #pools = new Map<string, Pool>();

    /** @param options - Limits of the connections. */
    constructor(options: PeerConnectionsOptions) {
        this.#options = options;
    }

    /**
     * Gets the pool of a peer, opened on first use.
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
     * Closes the connections to peers that are not among the given ones.
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
     * Replaces the pool of a peer whose connections have gone silent; requests on them run to their end.
     * @param address - The peer's address.
     */
    remove(address: string): void {
        const pool = this.#pools.get(address);
        this.#pools.delete(address);
        void pool?.close();
    }

    /** Closes all connections at once. */
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
