import { test } from "uvu";
import * as assert from "uvu/assert";
import { HttpCallerTransport } from "../../src/load/HttpCallerTransport.js";
import { SystemClock } from "../../src/time/index.js";
import { RawUpstream } from "../support/RawUpstream.js";

const TIMEOUT_MS = 5_000;
const POLL_MS = 10;
const LOOKUPS = 3;

test("lookups are sent ahead on one connection, and each gets the answer at its place", async () => {
    const server = new RawUpstream();
    await server.start();
    const transport = new HttpCallerTransport(TIMEOUT_MS, TIMEOUT_MS, LOOKUPS);
    try {
        server.listener = socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n/0");
        await send(transport, server, 0);
        server.listener = () => {};
        const answers = [1, 2, 3].map(index => send(transport, server, index));
        const clock = new SystemClock();
        while (server.requests.length < LOOKUPS + 1) {
            await clock.wait(POLL_MS);
        }
        assert.is(server.sockets.length, 1);
        for (const index of [1, 2, 3]) {
            server.sockets[0]!.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n/${index}`);
        }
        assert.equal(await Promise.all(answers), ["/1", "/2", "/3"]);
    }
    finally {
        await transport.close();
        server.stop();
    }
});

test.run();

async function send(transport: HttpCallerTransport, server: RawUpstream, index: number): Promise<string> {
    const url = `http://${server.getUpstream().address}`;
    const path = `/${index}`;
    const attempt = await transport.send({
        url,
        method: "GET",
        path,
        headers: {},
        body: undefined,
        timeoutMs: TIMEOUT_MS,
    });
    assert.ok("body" in attempt, JSON.stringify(attempt));
    return Buffer.concat(await attempt.body.toArray()).toString();
}
