import type { AuditTrail, ChangeService, ConfigurationLoader } from "../configuration/index.js";
import type { DecisionHistory } from "../logging/index.js";
import type { OperatorSettings } from "../settings/index.js";

/** The operators that an OperatorApi authenticates, and the components that its endpoints use. */
export interface OperatorApiOptions {
    readonly operators: readonly OperatorSettings[];
    readonly changeService: ChangeService;
    readonly loader: ConfigurationLoader;
    readonly auditTrail: AuditTrail;
    readonly decisions: DecisionHistory;
    /** Gets the state of this entry host as a JSON value. */
    readonly getStatus: () => unknown;
}
