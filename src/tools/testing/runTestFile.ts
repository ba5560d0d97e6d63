import { execFile } from "node:child_process";
import type { TestFileResult } from "./TestFileResult.js";

const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;
const TIME_LIMIT_MS = 600_000;
const FAILURE_PATTERN = /^\s*FAIL\s+(?:.*?\s+)?"(.*)"\s*$/gm;

/**
 * Runs one compiled test file in a process of its own.
 * @param file - Path of the compiled file.
 */
export function runTestFile(file: string): Promise<TestFileResult> {
    const environment = { ...process.env, FORCE_COLOR: "0", NO_COLOR: "1" };
    const options = { env: environment, maxBuffer: MAX_OUTPUT_BYTES, timeout: TIME_LIMIT_MS };
    return new Promise(resolve => {
        execFile(process.execPath, ["--enable-source-maps", file], options, (error, stdout, stderr) => {
            const output = stdout + stderr;
            const passed = getCount(output, "Passed");
            const total = getCount(output, "Total");
            resolve({
                file,
                passed,
                total,
                failures: [...output.matchAll(FAILURE_PATTERN)].map(match => match[1] ?? ""),
                // A suite whose set-up fails runs no test and still ends with exit code 0.
                isSuccessful: error === null && total > 0 && passed === total,
                output,
            });
        });
    });
}

function getCount(output: string, label: string): number {
    const matches = [...output.matchAll(new RegExp(`^\\s*${label}:\\s+(\\d+)`, "gm"))];
    return matches.reduce((sum, match) => sum + Number(match[1]), 0);
}
