import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getServiceParts } from "../../src/configuration/index.js";
import type { Service, Upstream } from "../../src/configuration/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";

const MAX_MEAN_SIZE = 10;

const test = suite("getServiceParts");

test("a zone with few upstreams is one part with the zone's name as its key", () => {
    const parts = getServiceParts(createService(createUpstreams(6)));
    assert.equal(parts.map(({ key, zone, index, slots }) => ({ key, zone, index, slots })), [
        { key: "a", zone: "a", index: 0, slots: 12 },
    ]);
});

test("each upstream of a large zone is in one part, and no part has more than twice the mean size", () => {
    for (const count of [24, 50, 200]) {
        const upstreams = createUpstreams(count);
        const parts = getServiceParts(createService(upstreams));
        assert.is(parts.length, Math.ceil(count / MAX_MEAN_SIZE));
        assert.equal(parts.flatMap(part => part.upstreams).map(({ name }) => name).sort(), getNames(upstreams));
        assert.ok(Math.max(...parts.map(part => part.upstreams.length)) <= 2 * MAX_MEAN_SIZE);
    }
});

test("adding an upstream moves others into a newly added part only", () => {
    const upstreams = createUpstreams(40);
    for (let count = 1; count < upstreams.length; count++) {
        const before = getPartsByName(upstreams.slice(0, count));
        const after = getPartsByName(upstreams.slice(0, count + 1));
        const newest = `a ${Math.ceil((count + 1) / MAX_MEAN_SIZE) - 1}`;
        const moved = [...before].filter(([name, key]) => after.get(name) !== key && after.get(name) !== newest);
        assert.equal(moved, [], `with ${count} upstreams`);
    }
});

test("draining upstreams do not count towards the slots of a part", () => {
    const [draining, active] = createUpstreams(2);
    const parts = getServiceParts(createService([{ ...draining!, draining: true }, active!]));
    assert.equal(parts.map(({ upstreams, slots }) => ({ upstreams: upstreams.length, slots })), [
        { upstreams: 2, slots: 2 },
    ]);
});

test.run();

function createUpstreams(count: number): readonly Upstream[] {
    return Array.from({ length: count }, (_, index) => {
        return { name: `i-${index}`, address: `10.0.0.${index}:1`, zone: "a", slots: 2, connections: 300 };
    });
}

function createService(upstreams: readonly Upstream[]): Service {
    return { ...GATEWAY_SERVICE_DEFAULTS, name: "orders", upstreams, floor: 0.5, retryBudget: 0.2 };
}

function getNames(upstreams: readonly Upstream[]): readonly string[] {
    return upstreams.map(({ name }) => name).sort();
}

function getPartsByName(upstreams: readonly Upstream[]): ReadonlyMap<string, string> {
    const parts = getServiceParts(createService(upstreams));
    return new Map(parts.flatMap(part => part.upstreams.map(({ name }) => [name, part.key] as const)));
}
