import { request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { HttpHostList } from "../../src/hostlist/index.js";
import { HostListServer } from "../../src/standins/index.js";

const LAG_MS = 5_000;
const FIRST = { address: "127.0.0.1:1", leaving: false };
const SECOND = { address: "127.0.0.1:2", leaving: false };

test("a change shows only after the lag", async () => {
    const clock = new FakeClock();
    const server = new HostListServer(clock, [FIRST], LAG_MS);
    const url = `http://127.0.0.1:${await server.start(0)}`;
    const list = new HttpHostList({ url, timeoutMs: 10_000 });
    const response = await request(`${url}/control`, {
        method: "POST",
        body: JSON.stringify({ addHost: SECOND, removeHost: FIRST.address }),
    });
    assert.is(response.statusCode, 200, await response.body.text());
    assert.equal(await list.getHosts(), [FIRST]);
    await clock.run(LAG_MS - 1);
    assert.equal(await list.getHosts(), [FIRST]);
    await clock.run(1);
    assert.equal(await list.getHosts(), [SECOND]);
    await server.stop();
});

test.run();
