import type { ListedHost } from "./ListedHost.js";

/** The platform's list of live and leaving entry hosts; it lags. */
export interface HostList {
    /** Gets the list as it stands; rejects when the platform doesn't answer. */
    getHosts(): Promise<readonly ListedHost[]>;
}
