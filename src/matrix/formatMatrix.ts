import { MatrixFault } from "./MatrixFault.js";
import { MatrixProtocol } from "./MatrixProtocol.js";
import type { MatrixResult } from "./MatrixResult.js";

const COLUMN_WIDTH = 16;
const LABEL_WIDTH = 24;

/**
 * Formats the results as a table of passed and total cases for each fault and protocol, followed by the findings.
 * @param results - The results.
 */
export function formatMatrix(results: readonly MatrixResult[]): string {
    const protocols = Object.values(MatrixProtocol);
    const header = "".padEnd(LABEL_WIDTH) + protocols.map(protocol => protocol.padEnd(COLUMN_WIDTH)).join("");
    const rows = Object.values(MatrixFault).map(fault => formatRow(fault, protocols, results));
    const failed = results.filter(result => result.findings.length > 0);
    const pairs = results.filter(result => result.matrixCase.faults.length > 1).length;
    return [
        header.trimEnd(),
        ...rows,
        `${results.length} cases (${pairs} with two faults), ${failed.length} with findings`,
        ...failed.map(formatFailure),
        "",
    ].join("\n");
}

function formatRow(fault: MatrixFault, protocols: readonly MatrixProtocol[], results: readonly MatrixResult[]): string {
    const cells = protocols.map(protocol => {
        const cell = results.filter(({ matrixCase }) =>
            matrixCase.protocol === protocol && matrixCase.faults.includes(fault)
        );
        const passed = cell.filter(result => result.findings.length === 0).length;
        return `${passed}/${cell.length}`.padEnd(COLUMN_WIDTH);
    });
    return (fault.padEnd(LABEL_WIDTH) + cells.join("")).trimEnd();
}

function formatFailure({ matrixCase, findings }: MatrixResult): string {
    const { protocol, faults, offsetMs, seed } = matrixCase;
    return `FAILED ${protocol} with ${faults.join(" and ")} at ${offsetMs} ms, seed ${seed}: ${findings[0]}`;
}
