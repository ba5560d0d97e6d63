import { PassThrough } from "node:stream";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { MemoryShortError } from "../../src/errors/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { MemoryKind, ProcessMemory } from "../../src/memory/index.js";

const MB = 1024 * 1024;
const IDLE_MS = 1_000;
const OPTIONS = { maxBytes: 32 * MB, timeoutMs: 5_000 };

const test = suite("BodyReader");
let clock: FakeClock;
let memory: ProcessMemory;

test.before.each(() => {
    clock = new FakeClock();
    memory = new ProcessMemory({
        clock,
        decisions: { record: () => {} },
        memoryBytes: 200_000_000,
        getIdleTimeout: () => IDLE_MS,
        collect: undefined,
    });
});

test("a body is read whole with and without a known length, and its memory is counted until it is released", async () => {
    const content = Buffer.alloc(5 * MB, "0123456789");
    for (const length of [content.length, undefined]) {
        const body = await memory.bodies.read(createStream(content), { ...OPTIONS, length });
        assert.ok(body?.bytes.equals(content));
        assert.ok(memory.budget.getHeld(MemoryKind.Body) >= content.length);
        body!.release();
        assert.is(memory.budget.getHeld(MemoryKind.Body), 0);
    }
});

test("a body beyond the limit is not returned and holds nothing", async () => {
    for (const length of [3 * MB, undefined]) {
        const stream = createStream(Buffer.alloc(3 * MB));
        assert.is(await memory.bodies.read(stream, { ...OPTIONS, maxBytes: 2 * MB, length }), undefined);
        assert.is(memory.budget.getHeld(MemoryKind.Body), 0);
    }
});

test("a body that stops is given up after the idle timeout, and one whose connection closes at once", async () => {
    const stopped = new PassThrough();
    stopped.write("part");
    const isGivenUp = memory.bodies.read(stopped, { ...OPTIONS, length: 100 }).catch((error: unknown) => error);
    await clock.run(IDLE_MS + 500);
    assert.instance(await isGivenUp, MemoryShortError);
    const closed = new PassThrough();
    const isClosed = memory.bodies.read(closed, { ...OPTIONS, length: 100 }).catch((error: unknown) => error);
    setImmediate(() => closed.destroy());
    assert.not.instance(await isClosed, MemoryShortError);
    assert.is(memory.budget.getHeld(MemoryKind.Body), 0);
});

test.run();

function createStream(content: Buffer): PassThrough {
    const stream = new PassThrough();
    stream.end(content);
    return stream;
}
