import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Configuration } from "../../src/configuration/index.js";
import { HttpPeerForwarder, PeerListener } from "../../src/forwarding/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import {
    HttpPeerTransport,
    PeerConnections,
    PeerHandlers,
    PeerMethod,
    peerProtocol,
    PeerTraffic,
    PeerTrafficKind,
} from "../../src/peers/index.js";
import { SystemClock } from "../../src/time/index.js";
import { createServiceRequest } from "../support/createServiceRequest.js";

const REQUESTS = 2;
const CONNECT_TIMEOUT_MS = 10_000;
const BODY_BYTES = 90_000;
/** More than the buffers of a connection hold. */
const LARGE_BODY_BYTES = 32_000_000;
/** Makes a result of about 60 kB. */
const RESULT_REPEATS = 10_000;
const MAX_HEAD_BYTES = 2_000;

const test = suite("PeerListener");

test("the traffic counter counts head and body of each answer to a forwarded request", async () => {
    const traffic = new PeerTraffic({ ownZone: "a", findZone: () => "b" });
    const listener = new PeerListener({
        handlers: new PeerHandlers(),
        serviceRunner: {
            run: async () => ({
                outcome: {
                    kind: OutcomeKind.Done,
                    status: 200,
                    headers: {},
                    body: Readable.from([Buffer.alloc(BODY_BYTES)]),
                },
                upstream: "u",
                isCrashSuspected: false,
                freeSlots: 1,
                queued: 0,
            }),
        },
        getConfiguration: () => ({}) as Configuration,
        secret: "s",
        traffic,
    });
    const connections = new PeerConnections({ maxConnections: 1, connectTimeoutMs: CONNECT_TIMEOUT_MS });
    const forwarder = new HttpPeerForwarder({ connections, clock: new SystemClock(), secret: "s", zone: "a", traffic });
    const address = await findFreeAddress();
    await listener.start(address);
    for (let count = 1; count <= REQUESTS; count++) {
        const { outcome } = await forwarder.runService(address, createServiceRequest({}), new AbortController().signal);
        assert.is(outcome.kind, OutcomeKind.Done);
        await (outcome as { readonly body: Readable; }).body.toArray();
    }
    await connections.close();
    await listener.stop();
    const { answeredBytes, counts } = traffic.readSummary();
    assert.equal(counts.map(({ kind, isOwnZone }) => [kind, isOwnZone]), [
        [PeerTrafficKind.Requests, false],
        [PeerTrafficKind.Answers, true],
    ]);
    assert.ok(answeredBytes >= REQUESTS * BODY_BYTES, `${answeredBytes} bytes`);
    assert.ok(answeredBytes < REQUESTS * (BODY_BYTES + MAX_HEAD_BYTES), `${answeredBytes} bytes`);
});

test("the large result of a call is compressed for callers that accept that, and counted as sent", async () => {
    const traffic = new PeerTraffic({ ownZone: "a", findZone: () => "b" });
    const handlers = new PeerHandlers();
    const id = "route-".repeat(RESULT_REPEATS);
    handlers.add(PeerMethod.CheckHost, () => ({ id }));
    const listener = new PeerListener({
        handlers,
        serviceRunner: { run: () => Promise.reject(new Error("It is not called.")) },
        getConfiguration: () => ({}) as Configuration,
        secret: "s",
        traffic,
    });
    const connections = new PeerConnections({ maxConnections: 1, connectTimeoutMs: CONNECT_TIMEOUT_MS });
    const transport = new HttpPeerTransport({ connections, clock: new SystemClock(), secret: "s", zone: "c" });
    const address = await findFreeAddress();
    await listener.start(address);
    const result = await transport.send(address, PeerMethod.CheckHost, { sender: "host-1" }, CONNECT_TIMEOUT_MS);
    const plain = await connections.get(address).request({
        method: "POST",
        path: peerProtocol.callPath,
        headers: { [peerProtocol.secretHeader]: "s" },
        body: JSON.stringify({ jsonrpc: "2.0", id: 1, method: PeerMethod.CheckHost, params: { sender: "host-2" } }),
    });
    const plainResult = await plain.body.json() as { readonly result: { readonly id: string; }; };
    await connections.close();
    await listener.stop();
    assert.is(result.id, id);
    assert.is(plainResult.result.id, id, "an older host, which names no encoding, gets the plain result");
    const [count] = traffic.readSummary().counts;
    assert.is(count?.isOwnZone, false);
    assert.ok(count.bytes > id.length && count.bytes < 1.1 * id.length, `${count.bytes} bytes`);
});

test("a stopping host waits until its answers to other hosts are sent, also to one that reads slowly", async () => {
    const listener = new PeerListener({
        handlers: new PeerHandlers(),
        serviceRunner: {
            run: async () => ({
                outcome: {
                    kind: OutcomeKind.Done,
                    status: 200,
                    headers: {},
                    body: Readable.from([Buffer.alloc(LARGE_BODY_BYTES)]),
                },
                upstream: "u",
                isCrashSuspected: false,
                freeSlots: 1,
                queued: 0,
            }),
        },
        getConfiguration: () => ({}) as Configuration,
        secret: "s",
    });
    const connections = new PeerConnections({ maxConnections: 1, connectTimeoutMs: CONNECT_TIMEOUT_MS });
    const forwarder = new HttpPeerForwarder({ connections, clock: new SystemClock(), secret: "s", zone: "a" });
    const address = await findFreeAddress();
    await listener.start(address);
    const { outcome } = await forwarder.runService(address, createServiceRequest({}), new AbortController().signal);
    const stopped = listener.waitForIdle().then(() => listener.stop());
    const parts = await (outcome as { readonly body: Readable; }).body.toArray() as Buffer[];
    await stopped;
    await connections.close();
    assert.is(Buffer.concat(parts).length, LARGE_BODY_BYTES);
});

test.run();

async function findFreeAddress(): Promise<string> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return `127.0.0.1:${port}`;
}
