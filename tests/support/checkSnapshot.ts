import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import * as assert from "uvu/assert";

const SNAPSHOT_FOLDER = "tests/snapshots";

/**
 * Compares a value with its stored snapshot; with UPDATE_SNAPSHOTS=1 it replaces the stored one.
 * @param name - Path of the snapshot below tests/snapshots, without the extension.
 * @param value - A text, or a value that is compared as JSON.
 */
export function checkSnapshot(name: string, value: unknown): void {
    const isText = typeof value === "string";
    const text = isText ? value : JSON.stringify(value, undefined, 4) + "\n";
    const file = join(SNAPSHOT_FOLDER, name + (isText ? ".txt" : ".json"));
    if (process.env.UPDATE_SNAPSHOTS === "1") {
        mkdirSync(dirname(file), { recursive: true });
        writeFileSync(file, text);
    }
    assert.ok(existsSync(file), `There is no snapshot ${file}.`);
    assert.fixture(text, readFileSync(file, "utf8"));
}
