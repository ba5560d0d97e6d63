import { suite } from "uvu";
import { createHead } from "../support/createHead.js";
import { CrowdBench } from "../support/CrowdBench.js";

const CONNECTIONS = 250;
/** Requests that each connection sends ahead. */
const REQUESTS = 30;
/** An answer below what a host reads ahead of a caller. */
const ANSWER = Buffer.alloc(250_000, "a");
/** A header field within the limit of the configuration. */
const LONG_FIELD = `x-note: ${"n".repeat(12_000)}`;

const test = suite("crowds that send requests ahead");
const bench = new CrowdBench();

test.before(async () => await bench.start());

test.after(async () => await bench.stop());

test("requests sent ahead on each connection, their answers unread", async () => {
    bench.applyAnswer(ANSWER);
    await bench.run(Array.from({ length: CONNECTIONS }, (_, index) => ({
        parts: Array.from(
            { length: REQUESTS },
            (_request, number) => createHead("GET", "/lookup/crowd", `a${index}-${number}`, LONG_FIELD),
        ),
        readBytes: 0,
    })));
});

test.run();
