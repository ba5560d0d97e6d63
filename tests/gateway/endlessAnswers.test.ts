import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Dispatcher } from "../../src/accounts/index.js";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import type { SuppliedConfiguration } from "../../src/configuration/index.js";
import { TruncatedAnswerError } from "../../src/errors/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { Gateway } from "../../src/gateway/Gateway.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { SeededRandom } from "../../src/random/index.js";
import type { OwnedRateLimiter } from "../../src/rates/index.js";

const TIMEOUT_MS = 1_000;
const MARGIN_MS = 250;
const REQUEST = {
    requestId: "r1",
    host: "shop.example",
    method: "POST",
    target: "/order/1",
    headers: {},
    key: undefined,
    timeoutMs: TIMEOUT_MS,
};

test("a response that is still incomplete after the caller's deadline is aborted", async () => {
    const clock = new FakeClock();
    const body = new Readable({ read: () => {} });
    const errors: Error[] = [];
    body.on("error", error => errors.push(error));
    const gateway = createGateway(clock, async () => ({ kind: OutcomeKind.Done, status: 200, headers: {}, body }));
    const outcome = await gateway.run(REQUEST, async () => Buffer.alloc(0), new AbortController().signal);
    assert.is(outcome.kind, OutcomeKind.Done);
    await clock.run(TIMEOUT_MS - 1);
    assert.not(body.destroyed);
    await clock.run(MARGIN_MS);
    assert.ok(body.destroyed);
    assert.instance(errors[0], TruncatedAnswerError);
});

test("a request without a response is answered before the caller's timeout, so that the answer still reaches it", async () => {
    const clock = new FakeClock();
    const gateway = createGateway(clock, () => new Promise(() => {}));
    const running = gateway.run(REQUEST, async () => Buffer.alloc(0), new AbortController().signal);
    let outcome: Outcome | undefined;
    void running.then(result => outcome = result);
    await clock.run(TIMEOUT_MS - 100);
    assert.is(outcome, undefined);
    await clock.run(80);
    assert.is(outcome?.kind, OutcomeKind.Unknown);
});

test.run();

function createGateway(clock: FakeClock, run: () => Promise<Outcome>): Gateway {
    const route = {
        name: "r",
        kind: RouteKind.Order,
        access: RouteAccess.Open,
        service: "orders",
        deadlineMs: 3_000,
        maxBodyBytes: 10,
    };
    return new Gateway({
        clock,
        random: new SeededRandom(1),
        decisions: new DecisionHistory(clock),
        limiter: {} as OwnedRateLimiter,
        dispatcher: { run } as unknown as Dispatcher,
        getConfiguration: () =>
            ({
                version: 1,
                findRoute: () => route,
                getService: () => ({ name: "orders", upstreams: [{}] }),
            }) as unknown as SuppliedConfiguration,
        getCopyAge: () => 0,
        notRunStatuses: new Set(),
        checkCopyAge: async () => true,
    });
}
