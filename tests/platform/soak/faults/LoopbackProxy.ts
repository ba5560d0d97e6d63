import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { parseAddress } from "../../../../src/utils/index.js";
import { LinkMode } from "../plan/LinkMode.js";

/** Delay of each piece of data in a delayed link, in milliseconds. */
const DELAY_MS = 250;
/** How often a cut connection looks whether the cut has ended, in milliseconds. */
const CUT_POLL_MS = 20;

interface ProxiedConnection {
    readonly client: Socket;
    readonly target: Socket;
    /** Whether nothing is passed on any more. */
    isSilent: boolean;
}

/** Passes TCP connections on to a target on the loopback interface, with faults. */
export class LoopbackProxy {
    /** Address of the target; undefined resets connections. */
    target: string | undefined;
    readonly #server: Server;
    readonly #connections = new Set<ProxiedConnection>();
    #modes: readonly LinkMode[] = [];

    constructor() {
        this.#server = createServer({ noDelay: true }, client => this.#receive(client));
    }

    /** Starts listening and returns the address. */
    async start(): Promise<string> {
        this.#server.listen(0, "127.0.0.1");
        await once(this.#server, "listening");
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    /** Closes all connections, also those that are still being opened, and stops. */
    stop(): void {
        this.#server.close();
        this.#connections.forEach(({ client, target }) => {
            client.destroy();
            target.destroy();
        });
    }

    /** Resets all connections. */
    closeConnections(): void {
        this.#connections.forEach(closeConnection);
    }

    /**
     * Adds a fault; several may overlap.
     * @param mode - What happens to the connections.
     * @returns Ends the fault.
     */
    addFault(mode: LinkMode): () => void {
        this.#modes = [...this.#modes, mode];
        if (mode === LinkMode.Reset) {
            this.closeConnections();
        }
        if (mode === LinkMode.Silent) {
            this.#connections.forEach(connection => (connection.isSilent = true));
        }
        return () => {
            const index = this.#modes.indexOf(mode);
            this.#modes = this.#modes.filter((_, other) => other !== index);
        };
    }

    #receive(client: Socket): void {
        client.on("error", () => client.destroy());
        if (this.target === undefined || this.#modes.includes(LinkMode.Reset)) {
            client.resetAndDestroy();
            return;
        }
        const { host, port } = parseAddress(this.target);
        const target = connect({ host, port, noDelay: true });
        const connection = { client, target, isSilent: false };
        this.#connections.add(connection);
        this.#openDirection(connection, client, target, LinkMode.CutToTarget);
        this.#openDirection(connection, target, client, LinkMode.CutFromTarget);
    }

    #openDirection(connection: ProxiedConnection, from: Socket, to: Socket, cut: LinkMode): void {
        let sent: Promise<void> = Promise.resolve();
        const sendLater = (write: () => void): void => {
            const delayMs = this.#modes.includes(LinkMode.Delayed) ? DELAY_MS : 0;
            const due = new Promise<void>(resolve => delayMs === 0 ? resolve() : setTimeout(resolve, delayMs));
            sent = Promise.all([sent, due]).then(() => this.#waitWhileCut(cut)).then(() => {
                if (!connection.isSilent && !to.destroyed) {
                    write();
                }
            });
        };
        from.on("data", (chunk: Buffer) => sendLater(() => void to.write(chunk)));
        from.on("end", () => sendLater(() => void to.end()));
        from.on("error", () => sendLater(() => void to.resetAndDestroy()));
        from.on("close", () => {
            if (to.destroyed) {
                this.#connections.delete(connection);
            }
        });
    }

    async #waitWhileCut(cut: LinkMode): Promise<void> {
        while (this.#modes.includes(cut)) {
            await new Promise(resolve => setTimeout(resolve, CUT_POLL_MS));
        }
    }
}

function closeConnection({ client, target }: ProxiedConnection): void {
    client.resetAndDestroy();
    target.resetAndDestroy();
}
