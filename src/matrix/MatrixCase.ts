import type { MatrixFault } from "./MatrixFault.js";
import type { MatrixProtocol } from "./MatrixProtocol.js";

/** One cell of the fault matrix. */
export interface MatrixCase {
    readonly protocol: MatrixProtocol;
    /** One fault, or two at once. */
    readonly faults: readonly MatrixFault[];
    /** When the faults begin, in milliseconds from the start of the protocol. */
    readonly offsetMs: number;
    readonly seed: number;
}
