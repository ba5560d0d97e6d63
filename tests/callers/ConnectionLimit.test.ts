import type { Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ConnectionLimit } from "../../src/callers/ConnectionLimit.js";

const test = suite("ConnectionLimit");

test("beyond the limit the longest idle connection is closed, or the new one if all are busy", () => {
    const closed: string[] = [];
    let slowest = 0;
    const limit = new ConnectionLimit({ maxConnections: 2, closeSlowest: () => ++slowest > 0, onClosed: () => {} });
    const create = (name: string): Pick<Socket, "destroy"> => ({ destroy: () => closed.push(name) as never });
    const [first, second, third, fourth] = ["first", "second", "third", "fourth"].map(create);
    limit.add(first!);
    limit.add(second!);
    limit.record(first!, true);
    limit.record(first!, false);
    limit.add(third!);
    assert.equal(closed, ["second"]);
    limit.record(first!, true);
    limit.record(third!, true);
    limit.add(fourth!);
    assert.equal(closed, ["second", "fourth"]);
    assert.is(slowest, 1);
    limit.remove(first!);
    limit.add(fourth!);
    assert.is(limit.getCount(), 2);
});

test.run();
