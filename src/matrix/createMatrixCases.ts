import type { MatrixCase } from "./MatrixCase.js";
import { MatrixFault } from "./MatrixFault.js";
import { MatrixProtocol } from "./MatrixProtocol.js";

/** Fault times from before the protocol's start to after its last message, in milliseconds from the start. */
const OFFSETS_MS = [-300, 0, 2, 5, 20, 100, 600, 2500] as const;
const PAIR_OFFSETS_MS = [0, 20] as const;

/** Creates all cases of the matrix: every fault at every offset, then every pair of faults. */
export function createMatrixCases(): readonly MatrixCase[] {
    return [...createSingleFaultCases(), ...createFaultPairCases()];
}

function createSingleFaultCases(): MatrixCase[] {
    return Object.values(MatrixProtocol).flatMap(protocol =>
        Object.values(MatrixFault).flatMap(fault =>
            OFFSETS_MS.map((offsetMs, seed) => ({ protocol, faults: [fault], offsetMs, seed: seed + 1 }))
        )
    );
}

function createFaultPairCases(): MatrixCase[] {
    const faults = Object.values(MatrixFault);
    const pairs = faults.flatMap((first, index) => faults.slice(index + 1).map(second => [first, second]));
    return Object.values(MatrixProtocol).flatMap(protocol =>
        pairs.flatMap(pair =>
            PAIR_OFFSETS_MS.map((offsetMs, seed) => ({ protocol, faults: pair, offsetMs, seed: seed + 1 }))
        )
    );
}
