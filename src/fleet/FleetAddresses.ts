import type { FleetOptions } from "./FleetOptions.js";

const LOOPBACK = "127.0.0.1";
const PEER_OFFSET = 100;
const OPERATOR_OFFSET = 200;
const STORE_OFFSET = 300;
const HOST_LIST_OFFSET = 301;
const UPSTREAM_CONTROL_OFFSET = 310;

/** The addresses of a test fleet. */
export class FleetAddresses {
    readonly #basePort: number;

    /** @param options - The fleet. */
    constructor(options: FleetOptions) {
        this.#basePort = options.basePort;
    }

    /**
     * Gets an entry host's address for callers.
     * @param index - The entry host's number.
     */
    getCaller(index: number): string {
        return this.#getAddress(index);
    }

    /**
     * Gets an entry host's address for other entry hosts.
     * @param index - The entry host's number.
     */
    getPeer(index: number): string {
        return this.#getAddress(PEER_OFFSET + index);
    }

    /**
     * Gets an entry host's address for operators.
     * @param index - The entry host's number.
     */
    getOperator(index: number): string {
        return this.#getAddress(OPERATOR_OFFSET + index);
    }

    /** Gets the store's address. */
    getStore(): string {
        return this.#getAddress(STORE_OFFSET);
    }

    /** Gets the host list's address. */
    getHostList(): string {
        return this.#getAddress(HOST_LIST_OFFSET);
    }

    /**
     * Gets the address of the control endpoint of a service's upstreams.
     * @param index - The service's number.
     */
    getUpstreamControl(index: number): string {
        return this.#getAddress(UPSTREAM_CONTROL_OFFSET + index);
    }

    #getAddress(offset: number): string {
        return `${LOOPBACK}:${this.#basePort + offset}`;
    }
}
