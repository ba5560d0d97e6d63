import { execFileSync, spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";

const FILE = "target/fuchsiapath-edge.mjs";
const INVALID_SETTINGS_EXIT_CODE = 2;

test("the bundle starts, and holds no part of undici that the gateway does not use", () => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"]);
    const env = { ...process.env, FUCHSIAPATH_NODE_FILE: "/nonexistent" };
    const run = spawnSync(process.execPath, [FILE], { env, encoding: "utf8" });
    assert.is(run.status, INVALID_SETTINGS_EXIT_CODE, run.stderr);
    assert.not(/WebSocketStream|MockAgent|EventSource/.test(readFileSync(FILE, "utf8")));
});

test.run();
