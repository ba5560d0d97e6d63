import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import type { FinalStatus } from "../../src/outcomes/index.js";
import { EjectionPolicy } from "../../src/services/index.js";

const UPSTREAMS = 5;
const ORDER = { isIdempotent: false, timeoutMs: 4_000 };
const ORDERS_PER_SECOND = 20;
const DURATION_MS = 20_000;
const END_MS = 5_000;

// Guards against upstreams that go on to get orders which they run and fail with a refusal that proves nothing (beside review/10).
for (const status of [408, 421, 429, 503] as const) {
    test(`an upstream that runs orders and answers ${status} gets no more of them than one that answers 500`, async () => {
        assert.is(await measureOrdersOfFailing(status), await measureOrdersOfFailing(500));
    });
}

test.run();

async function measureOrdersOfFailing(errorStatus: FinalStatus): Promise<number> {
    const bench = new ServiceBench({
        upstreams: UPSTREAMS,
        policy: EjectionPolicy.Prompt,
        service: GATEWAY_SERVICE_DEFAULTS,
        fakes: { serviceTimeMs: 480 },
    });
    bench.upstreams.applyFaults("u1", { errorRate: 1, errorStatus });
    const orders = bench.sendLoad(ORDERS_PER_SECOND, DURATION_MS, ORDER);
    await bench.clock.run(DURATION_MS + END_MS);
    await orders;
    return bench.upstreams.records.filter(record => record.upstream === "u1").length;
}
