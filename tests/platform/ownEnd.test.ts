import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EdgeProcess } from "./support/EdgeProcess.js";

/** Nothing listens there. */
const NO_STORE = "127.0.0.1:1";
const THROW_ONCE_STARTED = `
    const timer = setInterval(() => {
        if (process.listenerCount("uncaughtException") > 0) {
            clearInterval(timer);
            throw new Error("torn");
        }
    }, 20);
`;

test("a process that ends by an error that nothing caught writes its message and stack as one line", async () => {
    const folder = mkdtempSync(join(tmpdir(), "fuchsiapath-own-end-"));
    const host = new EdgeProcess("edge-0", NO_STORE, folder);
    try {
        await host.start(THROW_ONCE_STARTED);
        assert.is(await host.waitForExit(), 1);
        const entries = host.getLog().trim().split("\n").map(line => JSON.parse(line) as Record<string, unknown>);
        const last = entries.at(-1) as { hostname: string; msg: string; err: { message: string; stack: string; }; };
        assert.is(last.msg, "the process ends by an error that nothing caught");
        assert.is(last.hostname, "edge-0");
        assert.is(last.err.message, "torn");
        assert.match(last.err.stack, /at .*setInterval|listOnTimeout|Timeout/);
    }
    finally {
        await host.stop();
        rmSync(folder, { recursive: true });
    }
});

test.run();
