import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocument } from "../support/createDocument.js";
import { EdgeFleet } from "../support/EdgeFleet.js";
import { StoreFaultMode } from "../support/StoreFaultMode.js";

const HOSTS = 2;
/** The heap of the deploy file. */
const NODE_ARGUMENTS = ["--max-old-space-size=160", "--max-semi-space-size=2"];
const ROUTES = 1_560;
/** As many as an operator writes in 20 s, the store's history, at 80 ms each. */
const VERSIONS = 250;
const FIRST_VERSION = 8;

const test = suite("versions of a large configuration in an outage");
const fleet = new EdgeFleet();

test.before(() => fleet.start(HOSTS, ["catalogue", "orders"], { nodeArguments: NODE_ARGUMENTS }));

test.after(() => fleet.stop());

// Guards against LOST: hosts read hundreds of versions of a large configuration in one answer and ran out of memory (beside review/6).
test("hosts that regain the store after many versions of a large configuration put the newest in force and go on", async () => {
    const processes = fleet.hosts.map(host => host.getProcessId());
    fleet.store.faultMode = StoreFaultMode.Unavailable;
    for (let index = 0; index < VERSIONS; index++) {
        fleet.store.write("op/config", createLargeDocument(FIRST_VERSION + index));
    }
    fleet.store.faultMode = StoreFaultMode.None;
    await fleet.waitUntil(async () => {
        const responses = await Promise.all(fleet.hosts.map(host => fleet.send(host, "/last/1")));
        return responses.every(({ status }) => status === 200);
    });
    assert.equal(fleet.hosts.map(host => host.getProcessId()), processes);
});

test.run();

function createLargeDocument(version: number): Record<string, unknown> {
    const { routes } = createDocument() as { routes: Record<string, Record<string, unknown>>; };
    const lookup = routes["r-lookup"]!;
    const more = Array.from({ length: ROUTES }, (_, index) => [`r-${index}`, { ...lookup, prefix: `/more-${index}/` }]);
    const last = version === FIRST_VERSION + VERSIONS - 1 ? { "r-last": { ...lookup, prefix: "/last/" } } : {};
    return createDocument({ version, routes: { ...routes, ...Object.fromEntries(more), ...last } });
}
