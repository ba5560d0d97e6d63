import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { runTestFile } from "../../../src/tools/testing/runTestFile.js";

const test = suite("results of test files");
const folder = mkdtempSync(join(tmpdir(), "fuchsiapath-tests-"));

test.after(() => rmSync(folder, { recursive: true }));

// Guards against a green run of a suite whose set-up fails: it runs none of its tests and ends with exit code 0.
test("a file is successful only if all of its tests have passed", async () => {
    assert.is(await isSuccessful("console.log('  Total:     2\\n  Passed:    2')"), true);
    assert.is(await isSuccessful("console.log('  Total:     2\\n  Passed:    0')"), false);
    assert.is(await isSuccessful("console.log('  Total:     2\\n  Passed:    2'); process.exitCode = 1"), false);
    assert.is(await isSuccessful(""), false);
});

test.run();

async function isSuccessful(source: string): Promise<boolean> {
    const file = join(folder, "some.test.mjs");
    writeFileSync(file, source);
    return (await runTestFile(file)).isSuccessful;
}
