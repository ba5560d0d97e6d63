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

test("a registration with only a higher sequence number or less cold time left is a renewal", () => {
    assert.is(isRenewal(createItem(1), createItem(2)), true);
    assert.is(isRenewal(createItem(1), createItem(2, { coldMs: 500 })), true);
});

test("a registration with any other change is not a renewal", () => {
    const changes = [{ draining: true }, { address: "127.0.0.1:2" }, { zone: "b" }, { slots: 5 }, {
        incarnation: "i-1@6",
    }];
    changes.forEach(change =>
        assert.is(isRenewal(createItem(1), createItem(2, change)), false, JSON.stringify(change))
    );
    assert.is(isRenewal(createItem(1), { ...createItem(2), service: "other" }), false);
    assert.is(isRenewal(createItem(1), { ...createItem(2), startTime: 6 }), false);
});

test("a registration in which the cold time ends or rises is not a renewal", () => {
    assert.is(isRenewal(createItem(1), createItem(2, { coldMs: 0 })), false);
    assert.is(isRenewal(createItem(1), createItem(2, { coldMs: 3_000 })), false);
});

test("older registrations and items of other kinds are not renewals", () => {
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
