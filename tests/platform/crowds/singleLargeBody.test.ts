import { suite } from "uvu";
import { CrowdBench } from "../support/CrowdBench.js";

/** Above what hosts once accepted from each other, below the limit of the configuration. */
const BODY = "b".repeat(20 * 1024 * 1024);

const test = suite("a single large body");
const bench = new CrowdBench();

test.before(async () => await bench.start());

test.after(async () => await bench.stop());

test("is served through each host, also where another one has the service", async () => {
    const { fleet } = bench;
    for (const host of fleet.hosts) {
        await fleet.waitUntil(async () => {
            const response = await fleet.send(host, "/order/large", { method: "POST", body: BODY }).catch(() =>
                undefined
            );
            return response?.status === 200;
        });
    }
});

test.run();
