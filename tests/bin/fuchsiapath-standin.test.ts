import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetProcess } from "../../src/fleet/index.js";
import { HttpStore } from "../../src/store/index.js";
import { SystemClock } from "../../src/time/index.js";

const LONG_MS = 60_000;
const folder = mkdtempSync(join(tmpdir(), "standin-"));
const logFile = join(folder, "log");

test.after(() => rmSync(folder, { recursive: true }));

test("the store is served until the process is stopped, even while a watch is pending", async () => {
    const program = createProgram(["store", "--port", "0"]);
    const { url } = await readReport<{ url: string; }>(program);
    const store = new HttpStore({ url, timeoutMs: LONG_MS });
    const watch = store.watch("a", 0, LONG_MS).catch(() => "ended");
    assert.is((await store.compareAndSwap("b", "1", 0)).kind, "written");
    program.send("SIGTERM");
    assert.is(await program.wait(), 0);
    assert.is(await watch, "ended");
    await store.close();
});

test("one process serves several upstreams and returns their records together", async () => {
    const file = join(folder, "settings.json");
    const upstreams = ["u1", "u2"].map(name => ({ name, slots: 1, connections: 5 }));
    writeFileSync(file, JSON.stringify({ upstreams }));
    const program = createProgram(["upstream", "--settings", file]);
    const report = await readReport<{ control: string; upstreams: { address: string; }[]; }>(program);
    for (const { address } of report.upstreams) {
        await (await request(`http://${address}/a`)).body.dump();
    }
    const answer = await request(`${report.control}/records`);
    const { records } = await answer.body.json() as { records: { upstream: string; }[]; };
    assert.equal(records.map(record => record.upstream), ["u1", "u2"]);
    program.send("SIGTERM");
    assert.is(await program.wait(), 0);
});

test("invalid settings are reported with their place and end the program", async () => {
    const program = createProgram(["upstream", "--settings", "/nonexistent"]);
    assert.is(await program.wait(), 2);
    assert.match(readFileSync(logFile, "utf8"), "/nonexistent: ENOENT");
});

test.run();

function createProgram(args: readonly string[]): FleetProcess {
    return new FleetProcess({ name: "stand-in", program: "dist/src/bin/fuchsiapath-standin.js", args, logFile });
}

async function readReport<Report>(program: FleetProcess): Promise<Report> {
    const clock = new SystemClock();
    while (!program.getOutput().includes("\n")) {
        assert.not(program.hasExited());
        await clock.wait(1);
    }
    return JSON.parse(program.getOutput()) as Report;
}
