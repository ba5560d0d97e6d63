import { suite } from "uvu";
import { createDocument } from "../support/createDocument.js";
import { createHead } from "../support/createHead.js";
import { CrowdBench } from "../support/CrowdBench.js";

const CONNECTIONS = 380;
const ANSWER = Buffer.alloc(8 * 1024 * 1024, "a");
/** What a caller reads at a time, in bytes. */
const READ_BYTES = 1_024;

/** Time limit of the routes on which answers are cut by memory and not by time, in seconds. */
const LONG_TIMEOUT_S = 30;
const LONG_ROUTES = Object.fromEntries(
    Object.entries(createDocument().routes as Record<string, object>)
        .map(([name, route]) => [name, { ...route, timeout_s: LONG_TIMEOUT_S }]),
);

const test = suite("crowds that read slowly");
let bench: CrowdBench;

test.before.each(() => {
    bench = new CrowdBench();
});

test.after.each(async () => await bench.stop());

test("long answers that each caller reads slowly until their time limit", async () => {
    await bench.start();
    await runCrowd();
});

test("long answers that each caller reads slowly without an end", async () => {
    await bench.start({ routes: LONG_ROUTES });
    await runCrowd();
});

async function runCrowd(): Promise<void> {
    bench.applyAnswer(ANSWER);
    await bench.run(Array.from({ length: CONNECTIONS }, (_, index) => ({
        parts: [createHead("GET", index % 2 === 0 ? "/lookup/crowd" : "/books/crowd", `s${index}`)],
        readBytes: READ_BYTES,
    })));
}

test.run();
