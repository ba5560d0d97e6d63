import fc from "fast-check";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDocumentReport, PlatformDecoder } from "../../platform/supply/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { StoreItemKind } from "../../src/supply/index.js";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { createDocument } from "./support/createDocument.js";

const PROGRAM = "dist/platform/bin/fuchsiapath-check-platform.js";
const DEFAULTS = { ...GATEWAY_SERVICE_DEFAULTS, floor: 0, retryBudget: 0 };
const RUNS = 300;

const test = suite("findings on the operators' document");
const folder = mkdtempSync(join(tmpdir(), "fuchsiapath-check-"));

test.after(() => rmSync(folder, { recursive: true }));

test("each entry that hosts would refuse is found with its place, all at once", () => {
    const { routes, services, tenants } = createDocument() as Record<string, Record<string, object>>;
    const document = createDocument({
        routes: { ...routes, "r-bad": { ...routes!["r-order"], prefix: "order", timeout_s: "soon" } },
        services: { ...services, bad: { max_conns: -1 } },
        tenants: { ...tenants, " soles": {}, "": {}, "broken": { rate_per_s: "many" } },
    });
    checkSnapshot("platform/findings", createDocumentReport(JSON.stringify(document), DEFAULTS).errors);
    const { limits, ...rest } = document;
    assert.ok(limits !== undefined);
    checkSnapshot(
        "platform/frameFindings",
        createDocumentReport(JSON.stringify({ ...rest, routes: [] }), DEFAULTS).errors,
    );
    assert.equal(createDocumentReport(JSON.stringify(createDocument()), DEFAULTS), {
        errors: [],
        warnings: [],
        changes: [],
    });
});

test("entries that nothing reaches and limits that contradict each other are found with their places", () => {
    const { routes, services, tenants } = createDocument() as Record<string, Record<string, object>>;
    const document = createDocument({
        routes: {
            ...routes,
            "r-hidden": { ...routes!["r-order"], host: "SHOP.example" },
            "r-hasty": { ...routes!["r-order"], prefix: "/hasty/", timeout_s: 1, target_latency_s: 2 },
            "r-lost": { ...routes!["r-order"], prefix: "/lost/", service: "missing" },
            "r-share": {
                ...routes!["r-books"],
                prefix: "/share/",
                traffic_split: [{ service: "books", weight: 1 }, { service: "catalogue", weight: 0 }],
            },
        },
        services: { ...services, unused: services!["books"] },
        tenants: {
            ...tenants,
            silent: { api_keys: ["key-s"], rate_per_s: 5, burst: 0 },
            keyless: { api_keys: [], rate_per_s: 5, burst: 5 },
        },
    });
    checkSnapshot("platform/warnings", createDocumentReport(JSON.stringify(document), DEFAULTS));
});

test("what differs from the document in force is found by its meaning, and no key is printed", () => {
    const { routes, services, tenants } = createDocument() as Record<string, Record<string, object>>;
    const { "r-open": open, ...remaining } = routes!;
    const document = createDocument({
        routes: {
            ...remaining,
            "r-order": { ...routes!["r-order"], service: "books", timeout_s: 2 },
            "r-new": { ...open, prefix: "/new/" },
        },
        services: { ...services, books: { ...services!["books"], max_conns: 100 } },
        tenants: {
            ...tenants,
            clogs: { ...tenants!["clogs"], api_keys: ["key-2", "key-secret"], rate_per_s: 20, burst: 50 },
        },
    });
    const report = createDocumentReport(JSON.stringify(document), DEFAULTS, JSON.stringify(createDocument()));
    checkSnapshot("platform/changes", report);
    assert.not.match(JSON.stringify(report), /key-secret|key-1/);
    const cutOff = createDocumentReport(JSON.stringify(document), DEFAULTS, "{");
    assert.match(cutOff.errors[0]!.place, /^in force: /);
});

test("the check accepts what the hosts' decoder accepts, and finds what it finds", () => {
    const decoder = new PlatformDecoder(DEFAULTS);
    const odd = fc.oneof(fc.jsonValue(), fc.constantFrom("{", "", "null"));
    const fields = Object.keys(createDocument());
    fc.assert(
        fc.property(fc.constantFrom(...fields), odd, fc.boolean(), (field, value, isWhole) => {
            const text = isWhole ? JSON.stringify(value) : JSON.stringify(createDocument({ [field]: value }));
            const item = decoder.decode("op/config", text);
            const findings = createDocumentReport(text, DEFAULTS).errors;
            if (item.kind === StoreItemKind.Configuration) {
                assert.equal(findings, item.document.findings);
            }
            else {
                assert.ok(findings.length > 0, text);
            }
        }),
        { seed: 38, numRuns: RUNS },
    );
});

test("the program prints the findings and says by its exit code whether there are any", () => {
    assert.equal(runProgram(JSON.stringify(createDocument())), { status: 0, stdout: "" });
    const tenants = { " soles": { api_keys: ["key-1"] } };
    assert.equal(runProgram(JSON.stringify(createDocument({ tenants }))), {
        status: 2,
        stdout: "error: tenants[\" soles\"]: an HTTP header field can't carry its name unchanged\n",
    });
    assert.is(runProgram("{").status, 2);
    const { services } = createDocument() as Record<string, Record<string, object>>;
    const unused = { ...services, unused: services!["books"] };
    const warned = JSON.stringify(createDocument({ services: unused }));
    assert.equal(runProgram(warned), {
        status: 1,
        stdout: "warning: services[\"unused\"]: no route sends requests to it\n",
    });
    assert.is(runProgram(warned, "--strict").status, 2);
    const against = join(folder, "in-force.json");
    writeFileSync(against, JSON.stringify(createDocument()));
    assert.match(runProgram(warned, "--against", against).stdout, /^change: services\["unused"\]: added$/m);
    assert.is(runProgram(warned, "--against", join(folder, "missing")).status, 3);
    assert.is(spawnSync(process.execPath, [PROGRAM, join(folder, "missing")]).status, 3);
});

test.run();

function runProgram(text: string, ...options: string[]): { status: number | null; stdout: string; } {
    const file = join(folder, "document.json");
    writeFileSync(file, text);
    const { status, stdout } = spawnSync(process.execPath, [PROGRAM, file, ...options], { encoding: "utf8" });
    return { status, stdout };
}
