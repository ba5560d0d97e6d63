// A client's side: one request on a connection of its own, and small waits.
import { request } from "node:http";

let next = 0;

/** Every request that was sent, with its answer; readiness checks are left out. */
export const exchanges = [];

/** Sends one request; resolves with its answer or with the error. */
export function send({ host, port }, path, options = {}) {
    const id = options.id ?? `a${(next++).toString(16).padStart(8, "0")}`;
    const sent = performance.now();
    const method = options.method ?? "GET";
    const bytes = Buffer.byteLength(options.body ?? "");
    const exchange = { id, port, method, path, key: options.key, bytes, sent };
    if (options.isRecorded !== false) {
        exchanges.push(exchange);
    }
    return new Promise(resolveAnswer => {
        const resolve = answer => resolveAnswer(exchange.answer = answer);
        const headers = {
            "host": "shop.example",
            "fuchsiapath-attempt-id": id,
            "fuchsiapath-deadline-ms": String(options.deadlineMs ?? 6_000),
            ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
            ...options.headers,
        };
        const call = request({ host, port, path, method, headers, agent: false }, answer => {
            const chunks = [];
            answer.on("data", chunk => chunks.push(chunk));
            answer.on("error", () => {});
            answer.on("close", () =>
                resolve({
                    id,
                    sent,
                    ended: performance.now(),
                    status: answer.statusCode,
                    headers: answer.headers,
                    body: Buffer.concat(chunks).toString(),
                    isWhole: answer.complete,
                }));
        });
        call.on("error", error => resolve({ id, sent, ended: performance.now(), error: error.code ?? error.message }));
        call.setTimeout(options.limitMs ?? 15_000, () => call.destroy(new Error("no answer")));
        call.end(options.body);
    });
}

export async function isReady(edge) {
    return (await send(edge.ready, "/fuchsiapath/ready", { limitMs: 1_000, isRecorded: false })).status === 200;
}

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until a condition holds; rejects after the limit. */
export async function waitUntil(condition, limitMs, what) {
    const end = performance.now() + limitMs;
    while (!(await condition())) {
        if (performance.now() > end) {
            throw new Error(`not in time: ${what}`);
        }
        await wait(50);
    }
}
