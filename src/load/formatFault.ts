import { UnexpectedVariantError } from "../errors/index.js";
import type { ExperimentFault } from "./ExperimentFault.js";
import { FaultKind } from "./FaultKind.js";

/**
 * Formats a fault for a person.
 * @param fault - The fault.
 */
export function formatFault(fault: ExperimentFault): string {
    switch (fault.kind) {
        case FaultKind.Control:
            return `control ${fault.target} ${JSON.stringify(fault.body)}`;
        case FaultKind.Signal:
            return `${fault.signal} to ${fault.process}`;
        case FaultKind.Operator:
            return `operator ${fault.method} ${fault.target}${fault.path ?? ""}`;
        default:
            throw new UnexpectedVariantError(fault);
    }
}
