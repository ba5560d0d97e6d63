import { test } from "uvu";
import * as assert from "uvu/assert";
import { AccountRouter } from "../../src/accounts/index.js";
import { RouteKind } from "../../src/configuration/index.js";
import { PeerUnavailableError } from "../../src/errors/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { createAccountFleet } from "../support/createAccountFleet.js";

test("a host that reaches no account host does not say that an order with a key was not run", async () => {
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

test("a silent account host costs a lookup half of its time, and a lookup that may have run is not called not run", async () => {
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

test.run();
