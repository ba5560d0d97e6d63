import { suite } from "uvu";
import * as assert from "uvu/assert";
import { PeerUnavailableError } from "../../src/errors/index.js";
import { HttpPeerForwarder } from "../../src/forwarding/index.js";
import { OutcomeKind, UnknownReason } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { PeerConnections, peerProtocol } from "../../src/peers/index.js";
import { decodeOutcome } from "../../src/services/index.js";
import type { EncodedOutcome } from "../../src/services/index.js";
import { SystemClock } from "../../src/time/index.js";
import { encodeJson } from "../../src/utils/index.js";
import { createServiceRequest } from "../support/createServiceRequest.js";
import { RawUpstream } from "../support/RawUpstream.js";

const CONNECT_TIMEOUT_MS = 10_000;
const ODD_STATUSES = [0, 1, 99, 100, 199, 600, 999, 1000, -1, 200.5, "200", "2x0", null, undefined];
const ODD_HEADS = [undefined, null, 1, "x", [], {}, { outcome: null }, { outcome: {} }, { outcome: { kind: "odd" } }];
const ODD_LINES = ["HTTP/1.1 000 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 2x0 Odd", "HTTP/1.1 204 None"];
/** More than is read of a body that is of no use. */
const BODY = "x".repeat(100_000);

const test = suite("odd answers of peers");
let peer: RawUpstream;
let connections: PeerConnections;
let forwarder: HttpPeerForwarder;

test.before.each(async () => {
    peer = new RawUpstream();
    await peer.start();
    connections = new PeerConnections({ maxConnections: 1, connectTimeoutMs: CONNECT_TIMEOUT_MS });
    forwarder = new HttpPeerForwarder({ connections, clock: new SystemClock(), secret: "s" });
});

test.after.each(async () => {
    await connections.close();
    peer.stop();
});

// Guards against an odd status that a host of an older version passes on.
test("an outcome whose status is not that of a final response is unknown", async () => {
    for (const status of ODD_STATUSES) {
        const outcome = { kind: OutcomeKind.Done, status, headers: {} };
        applyAnswer("HTTP/1.1 200 OK", { outcome });
        checkUnknown(await runService(), status);
        checkUnknown(decodeOutcome({ ...outcome, body: "" } as unknown as EncodedOutcome), status);
    }
    applyAnswer("HTTP/1.1 200 OK", { outcome: { kind: OutcomeKind.Done, status: 599, headers: {} } });
    assert.is((await runService()).kind, OutcomeKind.Done);
});

test("an answer without an outcome, or with another status than 200, is a lost call", async () => {
    const cases = [
        ...ODD_HEADS.map(head => ["HTTP/1.1 200 OK", head] as const),
        ...ODD_LINES.map(line => [line, { outcome: { kind: OutcomeKind.Done, status: 200, headers: {} } }] as const),
    ];
    for (const [line, head] of cases) {
        applyAnswer(line, head);
        const error = await runService().then(() => undefined, (reason: unknown) => reason);
        const name = `${line} ${JSON.stringify(head)}`;
        assert.ok(error instanceof PeerUnavailableError && !error.isNotSent, name);
    }
    applyAnswer("HTTP/1.1 200 OK", { outcome: { kind: OutcomeKind.Done, status: 200, headers: {} } });
    assert.is((await runService()).kind, OutcomeKind.Done);
});

test.run();

function applyAnswer(line: string, head: unknown): void {
    const field = head === undefined ? "%" : encodeJson(head);
    peer.listener = socket => {
        socket.write(
            `${line}\r\n${peerProtocol.answerHeader}: ${field}\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`,
        );
    };
}

async function runService(): Promise<Outcome> {
    const { outcome } = await forwarder.runService(
        peer.getUpstream().address,
        createServiceRequest(),
        new AbortController().signal,
    );
    if (outcome.kind === OutcomeKind.Done) {
        await outcome.body.toArray();
    }
    return outcome;
}

function checkUnknown(outcome: Outcome, status: unknown): void {
    const isUnknown = outcome.kind === OutcomeKind.Unknown && outcome.reason === UnknownReason.InvalidAnswer;
    assert.ok(isUnknown, `${outcome.kind} of status ${String(status)}`);
}
