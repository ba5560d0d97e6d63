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
/** How far a share may lie off its weight in a few hundred requests, by the platform's bound; far less in ten thousand. */
const TOLERANCE = 0.02;

test("a route without shares has its one service", () => {
    assert.is(selectService(ROUTE, new SeededRandom(1)), "books");
});

test("requests go to the services of a route by their weights", () => {
    const random = new SeededRandom(5);
    const split = [{ service: "books", weight: 90 }, { service: "catalogue", weight: 10 }, {
        service: "old",
        weight: 0,
    }];
    const chosen = Array.from({ length: REQUESTS }, () => selectService({ ...ROUTE, split }, random));
    const getShare = (service: string): number => chosen.filter(name => name === service).length / REQUESTS;
    assert.ok(Math.abs(getShare("catalogue") - 0.1) < TOLERANCE);
    assert.is(getShare("old"), 0);
});

test.run();
