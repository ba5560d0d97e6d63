import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { BoundedLogStream, isSuccessLine } from "../../src/logging/index.js";

const SUCCESS_LINE = `{"decision":"answered","reason":"status 200"}\n`;
const REFUSAL_LINE = `{"decision":"refused","reason":"overloaded"}\n`;

function createStream(
    write: (text: string, onWritten: () => void) => void,
): { clock: FakeClock; log: BoundedLogStream; } {
    const clock = new FakeClock();
    return { clock, log: new BoundedLogStream({ clock, fileDescriptor: 1, write, isLowPriority: isSuccessLine }) };
}

test("a reader that stops reading causes dropped lines and never blocks the writer", () => {
    const written: string[] = [];
    const { log } = createStream(text => written.push(text));
    const line = `${"x".repeat(10_000)}\n`;
    for (let index = 0; index < 100; index++) {
        log.write(line);
    }
    assert.is(written.length, 52);
    assert.is(log.getDroppedLines(), 48);
});

test("under load, lines on successful requests are dropped before lines on refusals", async () => {
    const written: string[] = [];
    const { clock, log } = createStream((text, onWritten) => {
        written.push(text);
        onWritten();
    });
    for (let second = 0; second < 10; second++) {
        for (let index = 0; index < 1_000; index++) {
            log.write(index % 20 === 0 ? REFUSAL_LINE : SUCCESS_LINE);
        }
        await clock.run(1_000);
    }
    assert.is(written.filter(line => line === REFUSAL_LINE).length, 500);
    assert.ok(written.length <= 1_000 + 200 * 10, `${written.length} lines`);
    assert.is(written.length + log.getDroppedLines(), 10_000);
});

test.run();
