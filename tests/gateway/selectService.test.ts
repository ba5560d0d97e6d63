import { test } from "uvu";
import * as assert from "uvu/assert";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import type { Route } from "../../src/configuration/index.js";
import { selectService } from "../../src/gateway/index.js";
import { SeededRandom } from "../../src/random/index.js";

const ROUTE: Route = {
    name: "r",
    path: "/",
    methods: [],
    service: "books",
    kind: RouteKind.Bulk,
    access: RouteAccess.Open,
    deadlineMs: 1_000,
    maxBodyBytes: 0,
};
const REQUESTS = 10_000;
/** The platform tolerates this deviation from the weights over a few hundred requests; over 10,000 it is smaller. */
const TOLERANCE = 0.02;

test("a route without a traffic split uses its only service", () => {
    assert.is(selectService(ROUTE, new SeededRandom(1)), "books");
});

test("requests are split over the services of a route by weight", () => {
    const random = new SeededRandom(5);
    const split = [{ service: "books", weight: 90 }, { service: "catalogue", weight: 10 }, {
        service: "old",
        weight: 0,
    }];
    const selected = Array.from({ length: REQUESTS }, () => selectService({ ...ROUTE, split }, random));
    const getShare = (service: string): number => selected.filter(name => name === service).length / REQUESTS;
    assert.ok(Math.abs(getShare("catalogue") - 0.1) < TOLERANCE);
    assert.is(getShare("old"), 0);
});

test.run();
