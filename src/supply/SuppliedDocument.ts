import type { Service, SuppliedContent } from "../configuration/index.js";
import type { Finding } from "../errors/index.js";

/** A configuration as written by operators. It holds no upstreams, because upstreams register themselves. */
export interface SuppliedDocument extends Omit<SuppliedContent, "services"> {
    readonly services: readonly SuppliedService[];
    /** Entries that can't be served; all others are in force. */
    readonly findings: readonly Finding[];
}

/** A service without its upstreams. */
interface SuppliedService extends Omit<Service, "upstreams"> {
    /** Number of connections that each of its upstreams accepts. */
    readonly connections: number;
}
