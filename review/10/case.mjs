// Backends with a gray failure run orders and fail them with 503, without saying that they haven't run: callers are told "not run".
import { Bench } from "../lib-2/Bench.mjs";

const TRAFFIC_MS = 15_000;
const bench = new Bench("record.txt");
await bench.open({
    services: {
        katalog: { count: 3, slots: 6, workMs: 640 },
        pesanan: { count: 5, slots: 6, workMs: 480, trouble: "fails-503", troubled: [1, 1, 0], troubleShare: 0.45 },
    },
    routes: {
        "order-place": { prefix: "/order/", kind: "unsafe", service: "pesanan", priority: 1, timeout_s: 4 },
        "catalog-read": { prefix: "/catalog/", kind: "safe", service: "katalog", priority: 2, timeout_s: 3 },
    },
});
bench.disturb({ afterMs: 3_000, forMs: 6_500 });
bench.load({ name: "order", method: "POST", prefix: "/order/", perSecond: 60, deadlineMs: 8_000, bodyBytes: 300, forMs: TRAFFIC_MS });
bench.load({ name: "lookup", method: "GET", prefix: "/catalog/", perSecond: 28, deadlineMs: 6_000, forMs: TRAFFIC_MS });
await new Promise(resolve => setTimeout(resolve, TRAFFIC_MS));
await bench.settle(9_000);

// REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run.
const PROMISES = new Set([408, 421, 429, 503]);
const runs = new Set(bench.runs.map(run => run.id));
const refused = bench.requests.filter(item => item.name === "order" && PROMISES.has(item.status) && runs.has(item.id));
refused.forEach(item => bench.note(`REFUSED: ${item.name} ${item.id} at ${item.edge}: ${item.result}`));
bench.finish(
    refused.length > 0 ? 1 : 0,
    `${refused.length} orders were answered with a status that promises "not run", and have run; ` +
        `${bench.requests.length} requests, ${bench.requests.filter(item => item.status === 200).length} answered 200`,
);
