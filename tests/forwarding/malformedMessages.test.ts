import { once } from "node:events";
import { connect } from "node:net";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Configuration } from "../../src/configuration/index.js";
import { FakeClock, FakeNetwork } from "../../src/fakes/index.js";
import { PeerListener } from "../../src/forwarding/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { createNotRun, RefusalReason } from "../../src/outcomes/index.js";
import { PeerHandlers, PeerMethod } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { Replica, ReplicaSynchronizer, WatchResultKind } from "../../src/replica/index.js";
import { createMember } from "../support/createMember.js";

const ADDRESS = "127.0.0.1:19873";
const SECRET = "s";
const VALUES = [undefined, null, 0, -1, 1e300, "", "x", [], {}, [null], { a: 1 }, true];
const FIELDS = ["sender", "reports", "revision", "path", "waitMs", "id"];
const BODIES = [
    "",
    "{",
    "null",
    "[]",
    "[[]]",
    "[1,2]",
    "\"x\"",
    "{\"jsonrpc\":\"2.0\"}",
    "{\"jsonrpc\":\"2.0\",\"method\":5,\"id\":{}}",
    "{\"jsonrpc\":\"2.0\",\"method\":\"__proto__\",\"id\":1}",
    `{"a":${"[".repeat(20_000)}`,
    "\u0000\u0001",
];

const test = suite("malformed messages of peers");

test("no malformed call or request ends the process or stops the host from serving others", async () => {
    const errors: unknown[] = [];
    const record = (error: unknown): void => void errors.push(error);
    process.on("uncaughtException", record).on("unhandledRejection", record);
    const listener = createListener();
    await listener.start(ADDRESS);
    try {
        for (const body of [...BODIES, ...createCalls()]) {
            await send("/rpc", body, {});
        }
        for (
            const head of ["", "x", "%", "e30", Buffer.from("{}").toString("base64"), encodeURIComponent("{}"), "null"]
        ) {
            await send("/forward", "", { "x-peer-request": head });
        }
        for (
            const bytes of ["\r\n\r\n", "GET", "POST /rpc HTTP/1.1\r\ncontent-length: -1\r\n\r\n", "\u0016\u0003\u0001"]
        ) {
            await sendBytes(bytes);
        }
        const answer = await send("/rpc", createCall(PeerMethod.CheckHost, { sender: "b" }), {});
        assert.match(answer, /"result":\{"id":"host-0"\}|"result":/);
        assert.equal(errors, []);
    }
    finally {
        process.off("uncaughtException", record).off("unhandledRejection", record);
        await listener.stop();
    }
});

test.run();

function createListener(): PeerListener {
    const clock = new FakeClock();
    const handlers = new PeerHandlers();
    const self = createMember(0);
    new ReplicaSynchronizer({
        clock,
        decisions: new DecisionHistory(clock),
        replica: new Replica(() => false),
        store: {
            readAll: async () => ({ epoch: 0, parts: [] }),
            watch: async () => ({ kind: WatchResultKind.HistoryLost }),
        },
        transport: new FakeNetwork(clock).createTransport(self.peerAddress),
        handlers,
        random: new SeededRandom(1),
        self,
        getHostRankings: () => [[self]],
    });
    return new PeerListener({
        handlers,
        serviceRunner: {
            run: async () => ({
                outcome: createNotRun(RefusalReason.NoUpstream, "none"),
                upstream: undefined,
                isCrashSuspected: false,
                freeSlots: 0,
                queued: 0,
            }),
        },
        getConfiguration: () => ({}) as Configuration,
        secret: SECRET,
    });
}

function createCall(method: string, params: unknown): string {
    return JSON.stringify({ jsonrpc: "2.0", id: 1, method, params });
}

function createCalls(): string[] {
    return [PeerMethod.PullReplica, PeerMethod.CheckHost].flatMap(method => [
        ...VALUES.map(params => createCall(method, params)),
        ...FIELDS.flatMap(field => VALUES.map(value => createCall(method, { [field]: value }))),
    ]);
}

async function send(path: string, body: string, headers: Record<string, string>): Promise<string> {
    try {
        const answer = await request(`http://${ADDRESS}${path}`, {
            method: "POST",
            body,
            headers: { "x-peer-secret": SECRET, ...headers },
            headersTimeout: 500,
        });
        return await answer.body.text();
    }
    catch {
        return "";
    }
}

async function sendBytes(bytes: string): Promise<void> {
    const [host, port] = ADDRESS.split(":") as [string, string];
    const socket = connect(Number(port), host).on("error", () => {});
    socket.resume().end(bytes, "latin1");
    await once(socket, "close");
}
