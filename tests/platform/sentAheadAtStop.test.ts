import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocument } from "./support/createDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";
import type { EdgeProcess } from "./support/EdgeProcess.js";

const WORK_MS = 1_200;
/** Longer than the grace period. */
const OUTLASTING_MS = 5_000;
/** Time from the first request to the stop, while the first requests still run. */
const STOP_DELAY_MS = 500;
/** What each request may get: its answer, or a refusal that says that it has not run. */
const STATUSES: readonly number[] = [200, 503];
const TIME_LIMIT_MS = 30_000;
/** This key has no limit. */
const KEY = "key-3";
/** What each connection sends at once, in this order; the name of a request is its id and stands in its path. */
const CONNECTIONS: readonly (readonly string[])[] = [
    ["order-a1", "order-a2"],
    ["order-b1", "order-b2"],
    ["lookup-c1", "order-c2"],
    ["lookup-d1", "order-d2"],
    ["lookup-e1", "lookup-e2", "lookup-e3"],
    ["lookup-f1", "lookup-f2", "lookup-f3", "lookup-f4", "lookup-f5", "lookup-f6"],
];

interface Answer {
    readonly status: number;
    readonly head: string;
    readonly body: string;
}

const test = suite("requests sent ahead at a planned stop");
let fleet: EdgeFleet;

test.before.each(() => {
    fleet = new EdgeFleet();
});

test.after.each(() => fleet.stop());

for (const hosts of [1, 3]) {
    test(`each request that was read at one of ${hosts} hosts gets its own answer, and a refused one has not run`, async () => {
        await fleet.start(hosts, ["catalogue", "orders", "books"], {}, createLongDocument());
        const upstreams = [...fleet.upstreams.values()];
        upstreams.forEach(upstream => upstream.delayMs = WORK_MS);
        const [host] = fleet.hosts;
        const received = CONNECTIONS.map(ids => sendAhead(host!, ids));
        await wait(STOP_DELAY_MS);
        host!.sendSignal("SIGTERM");
        const answers = (await Promise.all(received)).map(parseAnswers);
        const ran = upstreams.flatMap(upstream => upstream.received.map(({ id }) => id));
        const seen = answers.map(each => each.map(({ status, body }) => `${status} ${body.slice(0, 80)}`).join("; "));
        assert.equal(answers.map(each => each.length), CONNECTIONS.map(ids => ids.length), seen.join("\n"));
        CONNECTIONS.forEach((ids, connection) => {
            ids.forEach((id, index) => {
                const { status, head, body } = answers[connection]![index]!;
                const runs = ran.filter(each => each === id).length;
                const lines = findLogLines(id).join("\n");
                if (id.startsWith("order")) {
                    assert.is(runs, status === 200 ? 1 : 0, `${id}: ${status}, ${runs} runs\n${lines}`);
                }
                assert.ok(STATUSES.includes(status), `${id}: ${status} ${body}\n${lines}`);
                assert.is(status === 503, runs === 0, `${id}: ${status}, ${runs} runs\n${lines}`);
                assert.ok(status !== 200 || body.endsWith(`/${id}`), `${id} got ${body}`);
                assert.is(/^connection: close/im.test(head), index === ids.length - 1, `${id}: ${head}`);
            });
        });
    });
}

test("requests behind one that outlasts the grace are refused as not run before its end, not cut with it", async () => {
    await fleet.start(1, ["catalogue", "orders", "books"], {}, createLongDocument());
    const upstreams = [...fleet.upstreams.values()];
    upstreams.forEach(upstream => upstream.delayMs = OUTLASTING_MS);
    const [host] = fleet.hosts;
    const ids = ["order-a1", "order-a2", "lookup-a3"];
    const received = sendAhead(host!, ids);
    await wait(STOP_DELAY_MS);
    host!.sendSignal("SIGTERM");
    const answers = parseAnswers(await received);
    assert.equal(answers.map(({ status }) => status), [502, 503, 503]);
    assert.equal(answers.map(({ head }) => /^connection: close/im.test(head)), [false, false, true]);
    assert.equal(upstreams.flatMap(upstream => upstream.received.map(({ id }) => id)), ["order-a1"]);
});

test.run();

/** Creates a configuration with a time limit far above what the requests take. */
function createLongDocument(): Record<string, unknown> {
    const document = createDocument();
    const routes = document["routes"] as Record<string, Record<string, unknown>>;
    const entries = Object.entries(routes).map((
        [name, route],
    ) => [name, { ...route, timeout_s: TIME_LIMIT_MS / 1_000 }]);
    return { ...document, routes: Object.fromEntries(entries) };
}

function findLogLines(id: string): readonly string[] {
    return fleet.hosts.flatMap(host => host.getLog().split("\n").filter(line => line.includes(id)));
}

/** Sends requests on one connection at once and returns all that came back until it closed. */
async function sendAhead(host: EdgeProcess, ids: readonly string[]): Promise<string> {
    const [address, port] = host.callerAddress.split(":");
    const socket = connect(Number(port), address);
    let received = "";
    socket.setEncoding("latin1").on("data", (part: string) => received += part).on("error", () => {});
    socket.write(ids.map(createRequest).join(""));
    await once(socket, "close");
    return received;
}

function createRequest(id: string): string {
    const isOrder = id.startsWith("order");
    const fields = [
        "host: shop.example",
        `fuchsiapath-attempt-id: ${id}`,
        `fuchsiapath-deadline-ms: ${TIME_LIMIT_MS}`,
        `authorization: Bearer ${KEY}`,
        ...(isOrder ? ["content-length: 1"] : []),
    ];
    const line = isOrder ? `POST /order/${id} HTTP/1.1` : `GET /lookup/${id} HTTP/1.1`;
    return `${[line, ...fields].join("\r\n")}\r\n\r\n${isOrder ? "x" : ""}`;
}

function parseAnswers(received: string): readonly Answer[] {
    return received.split(/(?=HTTP\/1\.1 \d)/).filter(part => part !== "").map(part => {
        const end = part.indexOf("\r\n\r\n");
        const head = part.slice(0, end);
        return { status: Number(head.split(" ")[1]), head, body: decodeBody(head, part.slice(end + 4)) };
    });
}

function decodeBody(head: string, content: string): string {
    return /^transfer-encoding: chunked/im.test(head)
        ? content.replaceAll(/(?:^|\r\n)[0-9a-f]+\r\n(?:\r\n$)?/g, "")
        : content;
}
