import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerUnavailableError } from "../../src/errors/index.js";
import { HttpPeerTransport, PeerConnections, PeerMethod } from "../../src/peers/index.js";
import { SystemClock } from "../../src/time/index.js";
import { readBody } from "../../src/utils/index.js";

const TIMEOUT_MS = 10_000;
const MAX_BODY_BYTES = 10_000;

test("a call to an address without a listening process is known not to have been sent", async () => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    server.close();
    await once(server, "close");
    assert.is((await findError(address)).isNotSent, true);
});

test("a call whose connection was lost may have run", async () => {
    const server = createServer(request => request.socket.destroy()).listen(0, "127.0.0.1");
    await once(server, "listening");
    const error = await findError(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    assert.is(error.isNotSent, false);
    server.close();
});

// Guards against a result that is taken from an answer with an odd status.
test("a result with another status than 200 is none", async () => {
    for (const status of [299, 500, 600, 999]) {
        const server = createServer((request, response) => void sendResult(request, response, status)).listen(
            0,
            "127.0.0.1",
        );
        await once(server, "listening");
        const error = await findError(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        assert.is(error.isNotSent, false);
        assert.ok(error.message.includes(String(status)), error.message);
        server.close();
    }
});

test.run();

async function sendResult(request: IncomingMessage, response: ServerResponse, status: number): Promise<void> {
    const { id } = JSON.parse(String(await readBody(request, MAX_BODY_BYTES))) as { readonly id: number; };
    response.writeHead(status).end(JSON.stringify({ jsonrpc: "2.0", id, result: { isServing: true } }));
}

async function findError(address: string): Promise<PeerUnavailableError> {
    const connections = new PeerConnections({ maxConnections: 1, connectTimeoutMs: TIMEOUT_MS });
    const transport = new HttpPeerTransport({ connections, clock: new SystemClock(), secret: "a secret of peers" });
    try {
        await transport.send(address, PeerMethod.IsServing, {}, TIMEOUT_MS);
    }
    catch (error) {
        assert.instance(error, PeerUnavailableError);
        return error as PeerUnavailableError;
    }
    finally {
        await connections.close();
    }
    throw new Error("The call was answered.");
}
