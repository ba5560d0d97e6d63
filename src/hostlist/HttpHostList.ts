import { request } from "undici";
import { FuchsiapathError } from "../errors/index.js";
import type { HostList } from "./HostList.js";
import type { HttpHostListOptions } from "./HttpHostListOptions.js";
import type { ListedHost } from "./ListedHost.js";

const STATUS_OK = 200;

/** The platform's list of hosts, reached over HTTP. */
export class HttpHostList implements HostList {
    readonly #options: HttpHostListOptions;

    /** @param options - How the list is reached. */
    constructor(options: HttpHostListOptions) {
        this.#options = options;
    }

    /** Gets the list as it stands; rejects when the platform doesn't answer. */
    async getHosts(): Promise<readonly ListedHost[]> {
        const signal = AbortSignal.timeout(this.#options.timeoutMs);
        const response = await request(`${this.#options.url}/hosts`, { signal });
        const text = await response.body.text();
        if (response.statusCode !== STATUS_OK) {
            throw new FuchsiapathError(`The list of hosts answered with status ${response.statusCode}.`);
        }
        return (JSON.parse(text) as { hosts: ListedHost[]; }).hosts;
    }
}
