import { test } from "uvu";
import * as assert from "uvu/assert";
import { recordUnhandledRejections } from "../../src/logging/index.js";

test("a promise rejection that nothing handles is logged and does not end the process", async () => {
    const lines: unknown[] = [];
    recordUnhandledRejections({ error: (...line: unknown[]) => void lines.push(line) } as never);
    void Promise.reject(new Error("test error"));
    void Promise.reject("text");
    await new Promise(setImmediate);
    assert.equal(lines.map(line => (line as [{ err: Error; }])[0].err.message), ["test error", "text"]);
});

test.run();
