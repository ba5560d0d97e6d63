import { request } from "undici";
import { FuchsiapathError } from "../errors/index.js";
import type { HostList } from "./HostList.js";
import type { HttpHostListOptions } from "./HttpHostListOptions.js";
import type { ListedHost } from "./ListedHost.js";

const STATUS_OK = 200;

/** Reads the platform's host list over HTTP. */
export class HttpHostList implements HostList {
    readonly #options: HttpHostListOptions;

    /** @param options - Address and timeout. */
    constructor(options: HttpHostListOptions) {
        this.#options = options;
    }

    /** Gets the current list; rejects if the platform doesn't answer. */
    async getHosts(): Promise<readonly ListedHost[]> {
        const signal = AbortSignal.timeout(this.#options.timeoutMs);
        const response = await request(`${this.#options.url}/hosts`, { signal });
        const text = await response.body.text();
        if (response.statusCode !== STATUS_OK) {
            throw new FuchsiapathError(`The host list answered with status ${response.statusCode}.`);
        }
        return (JSON.parse(text) as { hosts: ListedHost[]; }).hosts;
    }
}
