import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkDocument, IndexedConfiguration, parseDocument } from "../../src/configuration/index.js";
import { FindingsError } from "../../src/errors/index.js";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { createTestDocument } from "../support/createTestDocument.js";

const document = createTestDocument();

test("a valid document is parsed unchanged", () => {
    assert.equal(parseDocument(JSON.stringify(document)), document);
});

test("all findings in all sections are reported with their places", () => {
    const invalid = JSON.parse(JSON.stringify(document));
    const { accounts, catalogue, orders } = invalid.sections;
    accounts.accounts[0].burst = 1.5;
    accounts.accounts.push({ name: "shop-2", rate: 0, burst: 1 }, { name: "shop-2", rate: 1, burst: 1 });
    accounts.keys[0].secret = "must never appear here";
    accounts.keys.push({ id: "k2", account: "nobody", salt: "A".repeat(22), hash: "B".repeat(43) });
    catalogue.owners = [];
    catalogue.services[0].floor = 1.2;
    orders.routes[0].service = "missing";
    orders.routes.push({ ...orders.routes[0], name: "orders-2", service: "orders", accounts: ["shop-9"] });
    orders.services[0].upstreams[1].address = "localhost:80";
    orders.services.push({ ...orders.services[0], upstreams: document.sections.orders!.services![0]!.upstreams });
    orders.colour = "fuchsia";
    checkSnapshot("configuration/findings", checkDocument(invalid).findings);
});

test("checks between items cover names, addresses, paths and zones across all sections", () => {
    const invalid = JSON.parse(JSON.stringify(document));
    const { catalogue, orders } = invalid.sections;
    catalogue.routes.push({ ...orders.routes[0], path: "/orders/status", name: "orders" });
    orders.services[0].upstreams[0].address = catalogue.services[0].upstreams[0].address;
    orders.services[0].upstreams[1].name = catalogue.services[0].upstreams[0].name;
    orders.services[0].upstreams[2].zone = "d";
    orders.services[0].name = "catalogue";
    checkSnapshot("configuration/cross-findings", checkDocument(invalid, { zones: ["a", "b", "c"] }).findings);
});

test("malformed JSON is reported with its line and column", () => {
    try {
        parseDocument("{\n  \"sections\": {,}\n}");
        assert.unreachable();
    }
    catch (error) {
        assert.instance(error, FindingsError);
        assert.is((error as FindingsError).findings[0]?.place, "line 2, column 16");
    }
});

test("a path matches the route with the longest prefix of whole segments", () => {
    const [route] = document.sections.orders!.routes!;
    const routes = ["/", "/orders", "/orders/status"].map(path => ({ ...route!, path, name: path }));
    const configuration = new IndexedConfiguration(1, { sections: { all: { owners: ["sales"], routes } } });
    const find = (path: string): string | undefined => configuration.findRoute(path)?.path;
    assert.is(find("/orders/status/7"), "/orders/status");
    assert.is(find("/orders/status"), "/orders/status");
    assert.is(find("/orders/"), "/orders");
    assert.is(find("/ordersx"), "/");
    assert.is(find("*"), undefined);
});

test.run();
