// Backends of one zone in a process of their own. Started with fork; the first message holds their options:
// { backends: [{ id, service, slots, workMs, trouble, troubleShare }], answerBytes }; later messages, { isTroubled }, begin and
// end the trouble. Each run is reported to the parent process. `trouble` names what a backend then does wrong with a share of its
// requests, see `answer`; without it the backend is sound.
import { createServer } from "node:net";

const QUEUE = 24;
let isTroubled = false;

process.once("message", async ({ backends, answerBytes }) => {
    const addresses = {};
    for (const backend of backends) {
        addresses[backend.id] = await start(backend, answerBytes);
    }
    process.on("message", message => (isTroubled = message.isTroubled));
    process.send({ addresses });
});
process.on("disconnect", () => process.exit());

async function start(backend, answerBytes) {
    const state = { running: 0, queue: [] };
    const server = createServer({ noDelay: true }, socket => {
        socket.on("error", () => {});
        let received = Buffer.alloc(0);
        socket.on("data", chunk => {
            received = Buffer.concat([received, chunk]);
            for (;;) {
                const request = parse(received);
                if (request === undefined) {
                    return;
                }
                received = received.subarray(request.length);
                receive(backend, state, socket, request, answerBytes);
            }
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${server.address().port}`;
}

function parse(bytes) {
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const [line, ...fields] = bytes.subarray(0, end).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(fields.map(field => {
        const colon = field.indexOf(":");
        return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
    }));
    const length = end + 4 + Number(headers["content-length"] ?? 0);
    const [method, path] = line.split(" ");
    return bytes.length < length ? undefined : { method, path, headers, length };
}

function receive(backend, state, socket, request, answerBytes) {
    const id = request.headers["fuchsiapath-attempt-id"];
    if (request.path === "/health") {
        socket.write(`HTTP/1.1 200 OK\r\nFuchsiapath-Instance-Id: ${backend.id}\r\nContent-Length: 0\r\n\r\n`);
        return;
    }
    if (request.headers["fuchsiapath-expect-instance"] !== backend.id) {
        refuse(socket, id, "421 Misdirected Request");
        return;
    }
    const job = { id, request, socket, backend, answerBytes };
    if (state.running < backend.slots) {
        run(state, job);
    }
    else if (state.queue.length < QUEUE) {
        state.queue.push(job);
    }
    else {
        refuse(socket, id, "503 Service Unavailable");
    }
}

function refuse(socket, id, status) {
    socket.write(
        `HTTP/1.1 ${status}\r\nFuchsiapath-Attempt-Id: ${id}\r\nFuchsiapath-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    );
}

function run(state, job) {
    const { id, socket, backend } = job;
    if (socket.destroyed) {
        runNext(state);
        return;
    }
    state.running++;
    process.send({ run: id, backend: backend.id, isTroubled: isTroubled && backend.trouble !== undefined });
    let isEnded = false;
    const end = () => {
        if (!isEnded) {
            isEnded = true;
            clearTimeout(timer);
            socket.off("close", end);
            state.running--;
            runNext(state);
        }
    };
    const workMs = backend.workMs * (0.7 + 0.6 * Math.random());
    const timer = setTimeout(() => answer(job, end), workMs);
    // A request is dropped when its connection closes.
    socket.once("close", end);
}

function runNext(state) {
    const next = state.queue.shift();
    if (next !== undefined) {
        run(state, next);
    }
}

function createHead({ id, backend }, ...fields) {
    return [
        "HTTP/1.1 200 OK",
        `Fuchsiapath-Attempt-Id: ${id}`,
        `Fuchsiapath-Response-Seal: seal.${backend.id}.${id}`,
        ...fields,
    ].join("\r\n") + "\r\n\r\n";
}

function createBody({ id, answerBytes }) {
    return `${id} ${".".repeat(Math.max(0, answerBytes - id.length - 2))}!`;
}

function answer(job, end) {
    const { socket, backend } = job;
    const body = createBody(job);
    const isHit = isTroubled && Math.random() < (backend.troubleShare ?? 1);
    switch (isHit ? backend.trouble : undefined) {
        case undefined:
            socket.write(`${createHead(job, `Content-Length: ${body.length}`)}${body}`);
            end();
            return;
        case "endless-body":
            // Without an end, one byte a chunk, until the caller closes.
            socket.write(createHead(job, "Transfer-Encoding: chunked"));
            writeEndless(socket, Buffer.from("1\r\nx\r\n".repeat(10_000)));
            return;
        case "endless-head":
            // Interim heads that no answer follows, until the caller closes.
            writeEndless(
                socket,
                Buffer.from(`HTTP/1.1 103 Early Hints\r\n${"a:b\r\n".repeat(1_000)}\r\n`.repeat(12)),
            );
            return;
        case "no-length":
            // A whole answer that has no length and ends with its connection.
            socket.write(`${createHead(job)}${body.slice(0, -1)}`);
            setTimeout(() => {
                socket.end(body.slice(-1));
                end();
            }, 20);
            return;
        case "fails-503":
            // Runs the request, fails, and does not say that it has not run.
            socket.write(createHead(job, "Content-Length: 0").replace("200 OK", "503 Service Unavailable"));
            end();
            return;
        default:
            throw new Error(`unknown trouble ${backend.trouble}`);
    }
}

function writeEndless(socket, bytes) {
    const writeMore = () => {
        while (!socket.destroyed && socket.write(bytes)) {
            // Until the connection takes no more.
        }
        if (!socket.destroyed) {
            socket.once("drain", writeMore);
        }
    };
    writeMore();
}
