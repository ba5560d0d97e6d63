import type { Head, HeadStore } from "../../head/index.js";
import type { Store } from "../../store/index.js";
import type { Clock } from "../../time/index.js";
import type { ConfigurationLoader } from "../ConfigurationLoader.js";

/** What a ChangeService works with. */
export interface ChangeServiceOptions {
    readonly store: Store;
    readonly headStore: HeadStore;
    readonly loader: ConfigurationLoader;
    readonly clock: Clock;
    /**
     * Waits until a majority of the members has installed a version; false if the time is over first.
     * @param version - The head version.
     * @param timeoutMs - How long to wait, in milliseconds.
     */
    readonly waitForMajority: (version: number, timeoutMs: number) => Promise<boolean>;
    /**
     * Installs a head that was stored here and publishes it, so that it spreads at once.
     * @param head - The new head.
     */
    readonly publishHead: (head: Head) => Promise<unknown>;
}
