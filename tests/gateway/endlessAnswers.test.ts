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
import { SeededRandom } from "../../src/random/index.js";
import type { OwnedRateLimiter } from "../../src/rates/index.js";

const TIMEOUT_MS = 1_000;
const GRACE_MS = 250;

test("an answer that goes on beyond the caller's deadline is cut there, whatever host it comes from", async () => {
    const clock = new FakeClock();
    const body = new Readable({ read: () => {} });
    const errors: Error[] = [];
    body.on("error", error => errors.push(error));
    const route = {
        name: "r",
        kind: RouteKind.Order,
        access: RouteAccess.Open,
        service: "orders",
        deadlineMs: 3_000,
        maxBodyBytes: 10,
    };
    const gateway = new Gateway({
        clock,
        random: new SeededRandom(1),
        decisions: new DecisionHistory(clock),
        limiter: {} as OwnedRateLimiter,
        dispatcher: {
            run: async () => ({ kind: OutcomeKind.Done, status: 200, headers: {}, body }),
        } as unknown as Dispatcher,
        getConfiguration: () =>
            ({
                version: 1,
                findRoute: () => route,
                getService: () => ({ name: "orders", upstreams: [{}] }),
            }) as unknown as SuppliedConfiguration,
        getCopyAge: () => 0,
        checkCopyAge: async () => true,
    });
    const call = {
        requestId: "r1",
        host: "shop.example",
        method: "POST",
        target: "/order/1",
        headers: {},
        key: undefined,
        timeoutMs: TIMEOUT_MS,
    };
    const outcome = await gateway.run(call, async () => Buffer.alloc(0), new AbortController().signal);
    assert.is(outcome.kind, OutcomeKind.Done);
    await clock.run(TIMEOUT_MS - 1);
    assert.not(body.destroyed);
    await clock.run(GRACE_MS);
    assert.ok(body.destroyed);
    assert.instance(errors[0], TruncatedAnswerError);
});

test.run();
