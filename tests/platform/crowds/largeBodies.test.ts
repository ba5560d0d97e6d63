import { suite } from "uvu";
import { createHead } from "../support/createHead.js";
import { CrowdBench } from "../support/CrowdBench.js";

/** Connections of the crowd, each with one order. */
const CONNECTIONS = 60;
/** Every tenth order is sent whole. */
const WHOLE_INTERVAL = 10;
/** Connections that send nothing at all. */
const SILENT_CONNECTIONS = 400;
const BODY = Buffer.alloc(4 * 1024 * 1024, "b");
/** How much of its body an order that stays open lacks, in bytes. */
const MISSING_BYTES = 10;
const CHUNK = Buffer.concat([Buffer.from("10000\r\n"), BODY.subarray(0, 0x10000), Buffer.from("\r\n")]);
const CHUNKS = Array.from({ length: BODY.length / 0x10000 }, () => CHUNK);

const test = suite("crowds with large bodies");
let bench: CrowdBench;

test.before.each(async () => {
    bench = new CrowdBench();
    await bench.start();
});

test.after.each(async () => await bench.stop());

test("orders of legal size, most of them stopping just short of their end", async () => {
    await bench.run([
        ...Array.from({ length: CONNECTIONS }, (_, index) => {
            const length = index % WHOLE_INTERVAL === 0 ? BODY.length : BODY.length - MISSING_BYTES;
            const head = createHead("POST", "/order/crowd", `l${index}`, `content-length: ${BODY.length}`);
            return { parts: [head, BODY.subarray(0, length)], readBytes: 0 };
        }),
        ...Array.from({ length: SILENT_CONNECTIONS }, () => ({ parts: [], readBytes: 0 })),
    ]);
});

test("orders sent piece by piece, most of them without an end", async () => {
    await bench.run(Array.from({ length: CONNECTIONS }, (_, index) => {
        const end = index % WHOLE_INTERVAL === 0 ? [Buffer.from("0\r\n\r\n")] : [];
        const head = createHead("POST", "/order/crowd", `p${index}`, "transfer-encoding: chunked");
        return { parts: [head, ...CHUNKS, ...end], readBytes: 0 };
    }));
});

test.run();
