import { test } from "uvu";
import * as assert from "uvu/assert";
import { RouteAccess, RouteKind, SuppliedConfiguration } from "../../src/configuration/index.js";
import type { Route } from "../../src/configuration/index.js";

function createRoute(name: string, host: string, path: string): Route {
    return {
        name,
        host,
        path,
        methods: [],
        service: "orders",
        kind: RouteKind.Order,
        access: RouteAccess.Accounts,
        deadlineMs: 1_000,
        maxBodyBytes: 0,
    };
}

const configuration = new SuppliedConfiguration({
    version: 3,
    accounts: [{ name: "clogs", rate: 1, burst: 1 }],
    accountsByKey: new Map([["key-1", "clogs"], ["orphan", "gone"]]),
    routes: [
        createRoute("all", "shop.example", "/"),
        createRoute("orders", "shop.example", "/order/"),
        createRoute("urgent", "shop.example", "/order/urgent/"),
        createRoute("other", "other.example", "/order/"),
    ],
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
});

test("a path matches the route of its host with the longest path prefix", () => {
    const find = (path: string, host: string): string | undefined => configuration.findRoute(path, host)?.name;
    assert.is(find("/order/urgent/1", "shop.example"), "urgent");
    assert.is(find("/order/1", "SHOP.example"), "orders");
    assert.is(find("/ordering", "shop.example"), "all");
    assert.is(find("/order/1", "other.example"), "other");
    assert.is(find("/else", "other.example"), undefined);
    assert.is(find("/order/1", "unknown.example"), undefined);
});

test("a key identifies its account; an unknown key or one of a missing account identifies none", () => {
    assert.is(configuration.findAccountByKey("key-1")?.name, "clogs");
    assert.is(configuration.findAccountByKey("key-2"), undefined);
    assert.is(configuration.findAccountByKey("orphan"), undefined);
});

test.run();
