import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Clock } from "../time/index.js";
import type { HostRegistry } from "./HostRegistry.js";

/** Dependencies of the registrar, and this host's entry. */
export interface HostRegistrarOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly registry: HostRegistry;
    /** This host's entry. */
    readonly self: Member;
}
