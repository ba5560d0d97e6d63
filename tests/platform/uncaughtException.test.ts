import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EdgeProcess } from "./support/EdgeProcess.js";

/** An address without a listener. */
const NO_STORE = "127.0.0.1:1";
const THROW_ONCE_STARTED = `
    const timer = setInterval(() => {
        if (process.listenerCount("uncaughtException") > 0) {
            clearInterval(timer);
            throw new Error("test error");
        }
    }, 20);
`;

test("an uncaught exception is logged in one line with message and stack before the process exits", async () => {
    const folder = mkdtempSync(join(tmpdir(), "fuchsiapath-uncaught-exception-"));
    const host = new EdgeProcess("edge-0", NO_STORE, folder);
    try {
        await host.start(THROW_ONCE_STARTED);
        assert.is(await host.waitForExit(), 1);
        const entries = host.getLog().trim().split("\n").map(line => JSON.parse(line) as Record<string, unknown>);
        const last = entries.at(-1) as { hostname: string; msg: string; err: { message: string; stack: string; }; };
        assert.is(last.msg, "uncaught exception, the process exits");
        assert.is(last.hostname, "edge-0");
        assert.is(last.err.message, "test error");
        assert.match(last.err.stack, /at .*setInterval|listOnTimeout|Timeout/);
    }
    finally {
        await host.stop();
        rmSync(folder, { recursive: true });
    }
});

test.run();
