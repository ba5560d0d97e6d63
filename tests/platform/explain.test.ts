import { suite } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import { CauseKind, findExplanation } from "../../src/explanation/index.js";
import type { Explanation } from "../../src/explanation/index.js";
import { logLineSchema } from "../../src/explanation/logLineSchema.js";
import { RendezvousTable } from "../../src/membership/RendezvousTable.js";
import { createMember } from "../support/createMember.js";
import { createDocument } from "./support/createDocument.js";
import { EdgeFleet } from "./support/EdgeFleet.js";
import type { EdgeProcess } from "./support/EdgeProcess.js";
import { StoreFaultMode } from "./support/StoreFaultMode.js";

const HOSTS = 3;
/** Latency of an order, in milliseconds; long enough to kill a host while the order runs. */
const ORDER_LATENCY_MS = 1_500;

/** Requests that an account may send at once; its reachable owners hold two thirds of it. */
const BURST = 40;
const test = suite("explanations of failures of real processes");
const fleet = new EdgeFleet();
const { upstreams } = fleet;

test.before(() => fleet.start(HOSTS, ["catalogue", "orders"]));

test.after(() => fleet.stop());

test("explains an order whose service host was killed", async () => {
    const service = await findServiceHost("orders");
    const entry = fleet.hosts.find(host => host !== service)!;
    upstreams.forEach(upstream => (upstream.delayMs = ORDER_LATENCY_MS));
    const response = fleet.send(entry, "/order/1", { method: "POST", body: "x", id: "killed" });
    await fleet.waitUntil(async () =>
        [...upstreams.values()].some(({ received }) => received.some(item => item.id === "killed"))
    );
    service.sendSignal("SIGKILL");
    await service.waitForExit();
    assert.is((await response).status, 502);
    upstreams.forEach(upstream => (upstream.delayMs = 0));
    await service.start();
    await fleet.waitUntil(() => fleet.isReady(service));
    const { cause } = await findCause("killed", CauseKind.ServiceHostLost);
    assert.match(cause.summary, service.id);
    assert.ok(cause.evidence.some(item => item.host === service.id && item.decision === "started"));
});

test("explains a lookup refused while a service has too few healthy upstreams", async () => {
    const failing = [...upstreams.values()].filter(({ id }) => id.startsWith("i-catalogue"));
    failing.forEach(upstream => (upstream.isFailing = true));
    let index = 0;
    await fleet.waitUntil(async () =>
        (await fleet.send(fleet.hosts[0]!, "/lookup/s", { id: `s${++index}` })).status === 503
    );
    const { path, cause } = await findCause(`s${index}`, CauseKind.InsufficientCapacity);
    assert.equal(cause.evidence.map(item => item.upstream).sort(), failing.map(({ id }) => id));
    assert.ok(cause.evidence.every(item => /status 500/.test(item.reason)));
    assert.is(path.at(-1)!.decision, "refused");
    failing.forEach(upstream => (upstream.isFailing = false));
    await fleet.waitUntil(async () => (await fleet.send(fleet.hosts[0]!, "/lookup/s")).status === 200);
});

test("explains a refusal within the account's rate while its owner host is unreachable", async () => {
    const tenants = { clogs: { api_keys: ["key-1"], rate_per_s: 4, burst: BURST } };
    fleet.store.write("op/config", createDocument({ version: 20, tenants }));
    await fleet.waitUntil(async () =>
        fleet.hosts.every(host => /"configuration-applied".*"version":20/.test(host.getLog()))
    );
    const owner = findOwner("clogs");
    const entry = fleet.hosts.find(host => host !== owner)!;
    owner.sendSignal("SIGSTOP");
    const ids = Array.from({ length: BURST }, (_, index) => `r${index}`);
    const responses = await Promise.all(ids.map(id => fleet.send(entry, "/lookup/r", { id })));
    owner.sendSignal("SIGCONT");
    const refused = ids.filter((_, index) => responses[index]!.status === 429);
    assert.ok(refused.length > 0, `some are refused inside the burst of ${BURST}`);
    for (const id of refused) {
        const { cause } = await findCause(id, CauseKind.RateOwnerUnavailable);
        assert.ok(cause.evidence.some(item => item.member === owner.id), `${owner.id} is named`);
    }
});

test("explains a failed order by the failure of its upstream", async () => {
    const failing = [...upstreams.values()].filter(({ id }) => id.startsWith("i-orders"));
    failing.forEach(upstream => (upstream.isFailing = true));
    fleet.store.write("op/config", createDocument({ version: 21 }));
    let index = 0;
    const send = async (): Promise<boolean> => {
        const options = { method: "POST", body: "x", id: `o${++index}` } as const;
        return (await fleet.send(fleet.hosts[1]!, "/order/o", options)).status === 500;
    };
    await fleet.waitUntil(send);
    const { cause } = await findCause(`o${index}`, CauseKind.UpstreamFailed);
    assert.match(cause.summary, /Upstream i-orders-\d of orders answered with status 500/);
});

test("a host that starts while the store is unavailable logs that and waits", async () => {
    const host = fleet.hosts[1]!;
    host.sendSignal("SIGKILL");
    await host.waitForExit();
    fleet.store.faultMode = StoreFaultMode.Unavailable;
    await host.start();
    await fleet.waitUntil(async () => /secret/.test(host.getLog()));
    fleet.store.faultMode = StoreFaultMode.None;
    await fleet.waitUntil(() => fleet.isReady(host));
});

test("every log line matches the schema, and none has an API key", () => {
    const loggerFields = {
        name: z.literal("fuchsiapath-edge"),
        pid: z.int(),
        level: z.int(),
        msg: z.string(),
        v: z.literal(0),
    };
    const schema = z.strictObject({ ...logLineSchema.shape, ...loggerFields });
    const lines = fleet.hosts.flatMap(host => host.getLog().trim().split("\n"));
    assert.ok(lines.length > 50);
    for (const line of lines) {
        assert.ok(schema.safeParse(JSON.parse(line)).success, line);
        assert.not.match(line, /key-1/);
    }
});

test.run();

/** Reads the logs until they contain the cause: the output of several processes arrives in no fixed order. */
async function findCause(id: string, kind: CauseKind): Promise<Explanation> {
    let explanation: Explanation | undefined;
    await fleet.waitUntil(async () => {
        explanation = await findExplanation(id, fleet.writeLogs());
        return explanation.cause.kind === kind && explanation.cause.evidence.length > 0;
    });
    return explanation!;
}

/** Finds the host that dispatches the orders of a service to its upstreams, by the log. */
async function findServiceHost(service: string): Promise<EdgeProcess> {
    const hasDispatched = (host: EdgeProcess): boolean => new RegExp(`"dispatched".*"${service}"`).test(host.getLog());
    await fleet.send(fleet.hosts[0]!, "/order/first", { method: "POST", body: "x" });
    await fleet.waitUntil(async () => fleet.hosts.some(hasDispatched));
    return fleet.hosts.find(hasDispatched)!;
}

function findOwner(account: string): EdgeProcess {
    const members = fleet.hosts.map(({ id }, index) => ({ ...createMember(index), id, zone: "zone-a" }));
    const [first] = new RendezvousTable(members).selectAcrossZones(`account ${account}`, 1);
    return fleet.hosts.find(({ id }) => id === first!.id)!;
}
