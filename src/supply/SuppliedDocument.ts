import type { Service, SuppliedContent } from "../configuration/index.js";

/** A configuration as operators have written it, without the upstreams, which register themselves. */
export interface SuppliedDocument extends Omit<SuppliedContent, "services"> {
    readonly services: readonly SuppliedService[];
}

/** A service without its upstreams. */
interface SuppliedService extends Omit<Service, "upstreams"> {
    /** Connections that each of its upstreams accepts. */
    readonly connections: number;
}
