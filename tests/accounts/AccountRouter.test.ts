import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AccountRouter } from "../../src/accounts/index.js";
import { RouteKind } from "../../src/configuration/index.js";
import { PeerUnavailableError } from "../../src/errors/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { CallerRequest } from "../../src/requests/index.js";
import { createAccountFleet } from "../support/createAccountFleet.js";

/** How long a slow account host takes, in milliseconds; lookups have two seconds. */
const ANSWER_MS = 1_200;

test("a host that reaches no account host does not report an order with a key as not run", async () => {
    const fleet = createAccountFleet(6);
    const refuse = (): Promise<never> => Promise.reject(new PeerUnavailableError("refused", true));
    const hosts = fleet.hosts[0]!.membership.getAccountHosts("shop");
    const other = fleet.hosts.find(({ member }) => !hosts.some(host => host.id === member.id))!;
    const router = new AccountRouter({
        clock: fleet.clock,
        decisionLog: new DecisionHistory(fleet.clock),
        local: other.host,
        membership: other.membership,
        forwarder: { runAccount: refuse, runService: refuse },
    });
    const run = async (kind: RouteKind, idempotencyKey?: string): Promise<Outcome> =>
        await router.run(fleet.createRequest(kind, { idempotencyKey }), new AbortController().signal);
    assert.is((await run(RouteKind.Order, "plain")).kind, OutcomeKind.Unknown);
    assert.is((await run(RouteKind.Order)).kind, OutcomeKind.NotRun);
    assert.is((await run(RouteKind.Lookup)).kind, OutcomeKind.NotRun);
});

test("an unresponsive account host uses half of a lookup's timeout, and a lookup that may have run is not reported as not run", async () => {
    const fleet = createAccountFleet(6);
    const hosts = fleet.hosts[0]!.membership.getAccountHosts("shop");
    const other = fleet.hosts.find(({ member }) => !hosts.some(host => host.id === member.id))!;
    const attemptTimes: number[] = [];
    const waitForever = (): Promise<never> => {
        attemptTimes.push(fleet.clock.getTime());
        return new Promise(() => {});
    };
    const router = new AccountRouter({
        clock: fleet.clock,
        decisionLog: new DecisionHistory(fleet.clock),
        local: other.host,
        membership: other.membership,
        forwarder: { runAccount: waitForever, runService: waitForever },
    });
    const lookup = router.run(fleet.createRequest(RouteKind.Lookup), new AbortController().signal);
    await fleet.clock.run(2000);
    assert.equal(attemptTimes, [0, 1000, 1500]);
    assert.is((await lookup).kind, OutcomeKind.Unknown);
});

test("a lookup is awaited at an account host that needs more than half of its time, while another one has it too", async () => {
    const fleet = createAccountFleet(6);
    const hosts = fleet.hosts[0]!.membership.getAccountHosts("shop");
    const other = fleet.hosts.find(({ member }) => !hosts.some(host => host.id === member.id))!;
    const signals: AbortSignal[] = [];
    const runAccount = async (_: string, __: CallerRequest, signal: AbortSignal): Promise<Outcome> => {
        signals.push(signal);
        await fleet.clock.wait(ANSWER_MS);
        return { kind: OutcomeKind.Done, status: 200, headers: {}, body: Readable.from([]) };
    };
    const router = new AccountRouter({
        clock: fleet.clock,
        decisionLog: new DecisionHistory(fleet.clock),
        local: other.host,
        membership: other.membership,
        forwarder: { runAccount, runService: () => Promise.reject(new Error("It is not called.")) },
    });
    const lookup = router.run(fleet.createRequest(RouteKind.Lookup), new AbortController().signal);
    await fleet.clock.run(ANSWER_MS);
    assert.equal(signals.map(({ aborted }) => aborted), [false, true]);
    assert.is((await lookup).kind, OutcomeKind.Done);
});

test.run();
