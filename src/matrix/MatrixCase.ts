import type { MatrixFault } from "./MatrixFault.js";
import type { MatrixProtocol } from "./MatrixProtocol.js";

/** One case of the fault matrix: a protocol with one or two faults. */
export interface MatrixCase {
    readonly protocol: MatrixProtocol;
    /** One fault, or two simultaneous ones. */
    readonly faults: readonly MatrixFault[];
    /** When the faults begin, in milliseconds from the start of the protocol. */
    readonly offsetMs: number;
    readonly seed: number;
}
