// Orders with long bodies, inside the limits of the configuration, reach two machines at once; neither may exceed its memory.
import { readFileSync } from "node:fs";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send, wait } from "../lib/client.mjs";
import { createDocument } from "../lib/createDocument.mjs";
import { runCase } from "../lib/Fleet.mjs";

const HOSTS = 6;
const BURDENED_HOSTS = 2;
/** Of the settings of the site's machines, in MB of 2^20 bytes. */
const MEMORY_MB = 350;
const MEMORY_CHECK_MS = 20;
/** The limit in the example of the wire, and the length of the bodies, which is below it; in bytes. */
const MAX_BODY_BYTES = 67_108_864;
const BODY_BYTES = 60_000_000;
/** Long orders that come to a machine at once. */
const ORDERS_AT_ONCE = 6;
const ROUNDS = 4;
const ROUND_MS = 9_000;
const FAULT_ENDS = 3;
const SMALL_ORDERS_PER_S = 10;
const DEADLINE_MS = 8_000;

/** Kills a process that exceeds its memory, as the platform does. */
function watchMemory(fleet, peaks) {
    return setInterval(() => {
        for (const edge of fleet.edges.filter(each => each.isRunning())) {
            const mb = readResidentMb(edge.pid);
            peaks.set(edge.name, Math.max(peaks.get(edge.name) ?? 0, mb));
            if (mb > MEMORY_MB) {
                fleet.log(`${edge.name} uses ${mb.toFixed(0)} MB of ${MEMORY_MB} MB: the platform kills it`);
                edge.signal("SIGKILL");
            }
        }
    }, MEMORY_CHECK_MS);
}

function readResidentMb(pid) {
    try {
        return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0) / 1_024;
    }
    catch {
        return 0;
    }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
    const limits = { max_header_bytes: 16_384, max_body_bytes: MAX_BODY_BYTES, header_timeout_s: 3, idle_timeout_s: 15 };
    await fleet.start({ hosts: HOSTS, document: createDocument({ limits }) });
    const peaks = new Map();
    const timer = watchMemory(fleet, peaks);
    const burdened = fleet.edges.slice(0, BURDENED_HOSTS);
    const small = [];
    let isRunning = true;
    const sendSmall = async () => {
        for (let count = 0; isRunning; count++) {
            await wait(1_000 / SMALL_ORDERS_PER_S);
            const edge = burdened[count % burdened.length];
            const options = { method: "POST", key: "key-1", body: "one pair", deadlineMs: DEADLINE_MS };
            small.push(send(edge.front, `/order/small/${count}`, options));
        }
    };
    const sender = sendSmall();
    const body = Buffer.alloc(BODY_BYTES, "x");
    for (let round = 1; round <= ROUNDS; round++) {
        const begin = performance.now();
        const count = hasTrouble ? ORDERS_AT_ONCE : 1;
        fleet.log(`round ${round}: ${count} orders of ${BODY_BYTES} bytes to each of ${BURDENED_HOSTS} machines`);
        const answers = await Promise.all(burdened.flatMap(edge =>
            Array.from({ length: count }, (_, index) => {
                const options = { method: "POST", key: "key-1", body, deadlineMs: DEADLINE_MS };
                return send(edge.front, `/order/long/${round}/${index}`, options);
            })
        ));
        fleet.log(`answers: ${answers.map(answer => answer.status ?? answer.error).join(" ")}`);
        await wait(Math.max(0, begin + ROUND_MS - performance.now()));
    }
    isRunning = false;
    await sender;
    clearInterval(timer);
    const counts = {};
    for (const { status, error } of await Promise.all(small)) {
        counts[status ?? error] = (counts[status ?? error] ?? 0) + 1;
    }
    fleet.log(`small orders of other clients: ${JSON.stringify(counts)}`);
    fleet.log(`peak memory in MB: ${JSON.stringify([...peaks].map(([name, mb]) => [name, Math.round(mb)]))}`);
    const failed = fleet.edges.filter(edge => edge.ends.length >= FAULT_ENDS);
    fleet.log(`machines whose process ended ${FAULT_ENDS} times or more with no disturbance: ${failed.length} of ${HOSTS}`);
    return failed.length >= Math.max(2, HOSTS / 10);
});
