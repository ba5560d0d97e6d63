import { test } from "uvu";
import * as assert from "uvu/assert";
import { isRenewal, StoreItemKind } from "../../src/supply/index.js";
import type { StoreItem } from "../../src/supply/index.js";

type UpstreamItem = Extract<StoreItem, { kind: StoreItemKind.Upstream; }>;

const UPSTREAM = {
    name: "i-1",
    address: "127.0.0.1:1",
    zone: "a",
    slots: 6,
    connections: 1,
    draining: false,
    incarnation: "i-1@5",
    coldMs: 2_000,
};

test("a message that only counts on, or is less cold, is a renewal", () => {
    assert.is(isRenewal(createItem(1), createItem(2)), true);
    assert.is(isRenewal(createItem(1), createItem(2, { coldMs: 500 })), true);
});

test("a message that says something new is none", () => {
    const changes = [{ draining: true }, { address: "127.0.0.1:2" }, { zone: "b" }, { slots: 5 }, {
        incarnation: "i-1@6",
    }];
    changes.forEach(change =>
        assert.is(isRenewal(createItem(1), createItem(2, change)), false, JSON.stringify(change))
    );
    assert.is(isRenewal(createItem(1), { ...createItem(2), service: "other" }), false);
    assert.is(isRenewal(createItem(1), { ...createItem(2), startTime: 6 }), false);
});

test("the end of the cold time and a cold time that rises are told", () => {
    assert.is(isRenewal(createItem(1), createItem(2, { coldMs: 0 })), false);
    assert.is(isRenewal(createItem(1), createItem(2, { coldMs: 3_000 })), false);
});

test("an older message, another kind of item and one that can't be read are none", () => {
    assert.is(isRenewal(createItem(2), createItem(1)), false);
    assert.is(isRenewal(createItem(2), { kind: StoreItemKind.Invalid, reason: "no JSON" }), false);
    assert.is(isRenewal({ kind: StoreItemKind.Other }, { kind: StoreItemKind.Other }), false);
});

test.run();

function createItem(sequence: number, change: Partial<UpstreamItem["upstream"]> = {}): UpstreamItem {
    return {
        kind: StoreItemKind.Upstream,
        service: "orders",
        startTime: 5,
        sequence,
        upstream: { ...UPSTREAM, ...change },
    };
}
