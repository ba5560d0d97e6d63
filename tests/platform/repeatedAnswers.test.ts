import type { Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { PlatformUpstreamProtocol } from "../../platform/upstreams/index.js";
import { HttpUpstreamTransport, ProductUpstreamProtocol, UpstreamAnswerKind } from "../../src/services/index.js";
import type { UpstreamAnswer, UpstreamProtocol } from "../../src/services/index.js";
import { SystemClock } from "../../src/time/index.js";
import { createServiceRequest } from "../support/createServiceRequest.js";
import { RawUpstream } from "../support/RawUpstream.js";

/** How an upstream of a protocol writes its answers. */
interface Dialect {
    readonly name: string;
    readonly protocol: UpstreamProtocol;
    readonly idField: string;
    /** Fields of an answer that the upstream ran a request. */
    readonly doneFields: string;
    /** Fields of an answer that it did not. */
    readonly refusalFields: string;
}

const DIALECTS: readonly Dialect[] = [
    {
        name: "product",
        protocol: new ProductUpstreamProtocol(),
        idField: "x-request-id",
        doneFields: "",
        refusalFields: "x-request-not-run: 1\r\n",
    },
    {
        name: "platform",
        protocol: new PlatformUpstreamProtocol(),
        idField: "fuchsiapath-attempt-id",
        doneFields: "fuchsiapath-response-seal: s\r\n",
        refusalFields: "fuchsiapath-not-executed: 1\r\n",
    },
];

const clock = new SystemClock();

for (const dialect of DIALECTS) {
    const test = suite(`repeated answers, ${dialect.name}`);
    let upstream: RawUpstream;
    let transport: HttpUpstreamTransport;

    test.before.each(async () => {
        upstream = new RawUpstream();
        await upstream.start();
        transport = new HttpUpstreamTransport(clock, dialect.protocol);
    });

    test.after.each(() => {
        transport.close();
        upstream.stop();
    });

    const send = async (id: string): Promise<UpstreamAnswer> => {
        const request = createServiceRequest({
            requestId: id,
            isIdempotent: false,
            headers: { [dialect.idField]: id },
        });
        const answer = await transport.send(upstream.getUpstream(), request, {
            firstByteTimeoutMs: 2_000,
            deadlineMs: 2_000,
            freshConnection: false,
            signal: new AbortController().signal,
        });
        if (answer.kind === UpstreamAnswerKind.Answered) {
            await answer.body.toArray();
        }
        return answer;
    };
    const formatAnswer = (status: string, fields: string, id: string | undefined): string => {
        const idLine = id === undefined ? "" : `${dialect.idField}: ${id}\r\n`;
        return `HTTP/1.1 ${status}\r\n${idLine}${fields}content-length: 0\r\n\r\n`;
    };
    const formatRefusal = (id: string | undefined): string => formatAnswer("503 Full", dialect.refusalFields, id);

    for (const hasId of [true, false]) {
        test(`an earlier refusal is not taken as that of a later request, ${hasId ? "with" : "without"} its id`, async () => {
            const sends: ((socket: Socket, id: string) => void)[] = [
                (socket, id) => socket.write(formatAnswer("200 OK", dialect.doneFields, id)),
                (socket, id) => socket.write(formatRefusal(id)),
                socket => socket.write(formatRefusal(hasId ? "o1" : undefined)),
            ];
            upstream.listener = (socket, head) => sends.shift()?.(socket, findId(head, dialect.idField));
            assert.is((await send("o0")).kind, UpstreamAnswerKind.Answered);
            assert.is((await send("o1")).kind, UpstreamAnswerKind.Shed);
            assert.is((await send("o2")).kind, UpstreamAnswerKind.ConnectionLost);
        });
    }

    test("a request that was refused is sent again on another connection", async () => {
        upstream.listener = (socket, head) => socket.write(formatRefusal(findId(head, dialect.idField)));
        await send("o0");
        await send("o1");
        assert.is(upstream.sockets.length, 1);
        await send("o1");
        assert.is(upstream.sockets.length, 2);
    });

    test("a whole answer that comes once more is not taken for the answer of a later request", async () => {
        const sends: ((socket: Socket, id: string) => void)[] = [
            (socket, id) => socket.write(formatAnswer("200 OK", dialect.doneFields, id)),
            socket => socket.write(formatAnswer("200 OK", dialect.doneFields, "o1")),
        ];
        upstream.listener = (socket, head) => sends.shift()?.(socket, findId(head, dialect.idField));
        assert.is((await send("o1")).kind, UpstreamAnswerKind.Answered);
        assert.is((await send("o2")).kind, UpstreamAnswerKind.ConnectionLost);
    });

    test("an answer whose head ends early is never an answer, wherever it ends", async () => {
        const interim = "HTTP/1.1 103 Early\r\nconnection: close\r\n\r\n";
        const heads = [
            formatAnswer("200 OK", dialect.doneFields, "o1"),
            `${interim}${formatAnswer("200 OK", dialect.doneFields, "o1")}`,
            `HTTP/1.1 200 OK\r\nconnection: close\r\n${dialect.idField}: o1\r\n${dialect.doneFields}content-length: 9\r\n\r\n`,
        ];
        for (const head of heads) {
            for (let length = 0; length < head.length; length++) {
                upstream.listener = socket => socket.end(head.slice(0, length));
                const answer = await send("o1");
                // Bytes behind "connection: close" are no HTTP.
                const isInvalid = head.startsWith(interim) && length > interim.length;
                const expected = isInvalid ? UpstreamAnswerKind.Invalid : UpstreamAnswerKind.ConnectionLost;
                assert.is(answer.kind, expected, JSON.stringify(head.slice(0, length)));
            }
        }
    });

    test.run();
}

function findId(head: string, field: string): string {
    return new RegExp(`^${field}: (.*)$`, "im").exec(head)?.[1]?.trim() ?? "";
}
