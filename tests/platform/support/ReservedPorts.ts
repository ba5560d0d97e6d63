import { once } from "node:events";
import { createServer } from "node:net";
import type { Server } from "node:net";

/** Below the ephemeral port range, from which outgoing connections could take the ports of a stopped process. */
const FIRST_PORT = 20_000;
const BLOCKS = 100;
const PORTS_PER_BLOCK = 120;

/**
 * Finds ports on the loopback interface that no other process finds: it works in blocks, and holds the first port of
 * each of its blocks open while it runs.
 */
export class ReservedPorts {
    #block: number;
    #nextPort = 0;
    #endPort = 0;

    /** @param firstBlock - The block that is tried first. */
    constructor(firstBlock: number) {
        this.#block = firstBlock;
    }

    /** Finds a free port; at most one call may run at a time. */
    async findPort(): Promise<number> {
        for (;;) {
            while (this.#nextPort >= this.#endPort) {
                await this.#claimBlock();
            }
            const port = this.#nextPort++;
            const server = await openPort(port);
            if (server !== undefined) {
                server.close();
                await once(server, "close");
                return port;
            }
        }
    }

    async #claimBlock(): Promise<void> {
        const first = FIRST_PORT + (this.#block++ % BLOCKS) * PORTS_PER_BLOCK;
        const holder = await openPort(first);
        if (holder !== undefined) {
            holder.unref();
            this.#nextPort = first + 1;
            this.#endPort = first + PORTS_PER_BLOCK;
        }
    }
}

async function openPort(port: number): Promise<Server | undefined> {
    // An open connection would keep the process from ending.
    const server = createServer(socket => socket.destroy()).listen(port, "127.0.0.1");
    return await once(server, "listening").then(() => server, () => undefined);
}
