import type { Configuration } from "../configuration/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Membership } from "../membership/index.js";
import type { AccountRunner } from "../requests/index.js";
import type { ActiveRequests } from "./ActiveRequests.js";

/** The dependencies of the checks of callers' requests. */
export interface CallerRequestHandlerOptions {
    readonly membership: Membership;
    readonly decisions: DecisionLog;
    readonly activeRequests: ActiveRequests;
    /** Runs a checked request on one of its account hosts. */
    readonly accountRunner: AccountRunner;
    /** Gets the current configuration. */
    readonly getConfiguration: () => Configuration;
}
