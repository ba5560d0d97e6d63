import type { Head, HeadStore } from "../../head/index.js";
import type { Store } from "../../store/index.js";
import type { Clock } from "../../time/index.js";
import type { ConfigurationLoader } from "../ConfigurationLoader.js";

/** The dependencies of a ChangeService. */
export interface ChangeServiceOptions {
    readonly store: Store;
    readonly headStore: HeadStore;
    readonly loader: ConfigurationLoader;
    readonly clock: Clock;
    /**
     * Waits until a majority of the members has installed a version; false on a timeout.
     * @param version - The head version.
     * @param timeoutMs - How long to wait, in milliseconds.
     */
    readonly waitForMajority: (version: number, timeoutMs: number) => Promise<boolean>;
    /**
     * Installs a newly stored head on this host and publishes it to the other hosts at once.
     * @param head - The new head.
     */
    readonly publishHead: (head: Head) => Promise<unknown>;
}
