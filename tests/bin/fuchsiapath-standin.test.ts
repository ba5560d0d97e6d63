import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ChildProgram } from "../../src/measure/ChildProgram.js";
import { HttpStore } from "../../src/store/index.js";
import { SystemClock } from "../../src/time/index.js";

const STOP_LIMIT_MS = 60_000;
const clock = new SystemClock();

test("the store is served until the process is stopped, also while a watch waits", async () => {
    const program = createProgram(["store", "--port", "0"]);
    program.start();
    const { url } = JSON.parse(await program.readFirstLine()) as { url: string; };
    const store = new HttpStore({ url, timeoutMs: STOP_LIMIT_MS });
    const watch = store.watch("a", 0, STOP_LIMIT_MS).catch(() => "ended");
    assert.is((await store.compareAndSwap("b", "1", 0)).kind, "written");
    await program.stop(STOP_LIMIT_MS);
    assert.is(await watch, "ended");
    await store.close();
});

test("one process serves several upstreams and reports on them together", async () => {
    const folder = await mkdtemp(join(tmpdir(), "standin-"));
    const file = join(folder, "settings.json");
    const upstreams = ["u1", "u2"].map(name => ({ name, slots: 1, connections: 5 }));
    await writeFile(file, JSON.stringify({ upstreams }));
    const program = createProgram(["upstream", "--settings", file]);
    program.start();
    const report = JSON.parse(await program.readFirstLine()) as { control: string; upstreams: { address: string; }[]; };
    for (const { address } of report.upstreams) {
        await (await request(`http://${address}/a`)).body.dump();
    }
    const { records } = await (await request(`${report.control}/records`)).body.json() as {
        records: { upstream: string; }[];
    };
    assert.equal(records.map(record => record.upstream), ["u1", "u2"]);
    await program.stop(STOP_LIMIT_MS);
    await rm(folder, { recursive: true });
});

test("findings in the settings end the program with their places", async () => {
    const program = createProgram(["upstream", "--settings", "/nonexistent"]);
    program.start();
    const message = await program.readOutput().catch((error: Error) => error.message);
    assert.match(message, /ended with 2:\n\/nonexistent: ENOENT/);
});

test.run();

function createProgram(args: readonly string[]): ChildProgram {
    return new ChildProgram({ name: "stand-in", program: "fuchsiapath-standin", args }, clock);
}
