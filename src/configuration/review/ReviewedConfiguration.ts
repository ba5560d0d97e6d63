import type { Service } from "../Service.js";
import type { SuppliedContent } from "../SuppliedContent.js";

/** What is reviewed of a configuration; upstreams are no part of it. */
export interface ReviewedConfiguration extends Pick<SuppliedContent, "accounts" | "accountsByKey" | "routes"> {
    readonly services: readonly Omit<Service, "upstreams">[];
}
