import { sep } from "node:path";

/** Tests below a folder of this name measure the memory of their processes, which other load would change. */
const SERIAL_FOLDER = "crowds";

/**
 * Selects the test files that run one at a time, after all others.
 * @param files - Paths of test files.
 */
export function selectSerialFiles(files: readonly string[]): string[] {
    return files.filter(file => file.split(sep).slice(0, -1).includes(SERIAL_FOLDER));
}
