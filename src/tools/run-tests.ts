import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { KnownRed } from "./testing/KnownRed.js";
import { parseKnownRed } from "./testing/parseKnownRed.js";
import { runTestFile } from "./testing/runTestFile.js";
import { selectSerialFiles } from "./testing/selectSerialFiles.js";
import type { TestFileResult } from "./testing/TestFileResult.js";

/*
 * Runs all compiled test files, a few at a time and those with crowds one at a time, and prints what failed.
 * Usage: node dist/src/tools/run-tests.js [text that the file's path contains]
 */
const TEST_FOLDER = "dist/tests";
const CONCURRENT_FILES = 4;
const KNOWN_RED_FILE = "KNOWN-RED.txt";

const filter = process.argv[2] ?? "";
const knownReds = existsSync(KNOWN_RED_FILE) ? parseKnownRed(readFileSync(KNOWN_RED_FILE, "utf8")) : [];
const results = await runAll(findTestFiles());
process.exitCode = reportResults(results) ? 0 : 1;

function findTestFiles(): string[] {
    const files = readdirSync(TEST_FOLDER, { recursive: true, encoding: "utf8" });
    return files.filter(file => file.endsWith(".test.js")).map(file => join(TEST_FOLDER, file))
        .filter(file => file.includes(filter)).sort();
}

async function runAll(files: string[]): Promise<TestFileResult[]> {
    const serial = selectSerialFiles(files);
    const others = files.filter(file => !serial.includes(file));
    return [...await runConcurrently(others, CONCURRENT_FILES), ...await runConcurrently(serial, 1)];
}

async function runConcurrently(files: readonly string[], concurrent: number): Promise<TestFileResult[]> {
    const remaining = [...files];
    const finished: TestFileResult[] = [];
    const runNext = async (): Promise<void> => {
        for (let file = remaining.shift(); file !== undefined; file = remaining.shift()) {
            const result = await runTestFile(file);
            finished.push(result);
            console.log(`${result.isSuccessful ? "ok  " : "FAIL"} ${result.passed}/${result.total} ${file}`);
        }
    };
    await Promise.all(Array.from({ length: concurrent }, runNext));
    return finished;
}

function reportResults(finished: TestFileResult[]): boolean {
    const unexpected = finished.filter(result => !isExpected(result));
    for (const result of unexpected) {
        console.log(`\n--- ${result.file}\n${result.output}`);
    }
    for (const knownRed of knownReds) {
        console.log(`KNOWN-RED ${knownRed.entry}`);
    }
    const passed = finished.reduce((sum, result) => sum + result.passed, 0);
    const failed = finished.reduce((sum, result) => sum + Math.max(result.total - result.passed, 0), 0);
    console.log(`\n${passed} passed, ${failed} failed`);
    return unexpected.length === 0 && passed > 0;
}

function isExpected(result: TestFileResult): boolean {
    if (result.isSuccessful) {
        return true;
    }
    return result.failures.length > 0 && result.failures.every(test => isKnownRed(result.file, test));
}

function isKnownRed(file: string, test: string): boolean {
    const source = file.replace(/^dist\//, "").replace(/\.js$/, ".ts");
    return knownReds.some((known: KnownRed) => known.file === source && known.test === test);
}
