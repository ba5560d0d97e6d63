import type { ListedHost } from "./ListedHost.js";

/** The platform's list of live and leaving entry hosts, which may be out of date by `hostListLagMs`. */
export interface HostList {
    /** Gets the current list; rejects if the platform doesn't answer. */
    getHosts(): Promise<readonly ListedHost[]>;
}
