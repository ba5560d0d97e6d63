import fc from "fast-check";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { findDocumentFindings, PlatformDecoder } from "../../platform/supply/index.js";
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
    checkSnapshot("platform/findings", findDocumentFindings(JSON.stringify(document), DEFAULTS));
    const { limits, ...rest } = document;
    assert.ok(limits !== undefined);
    checkSnapshot("platform/frameFindings", findDocumentFindings(JSON.stringify({ ...rest, routes: [] }), DEFAULTS));
    assert.equal(findDocumentFindings(JSON.stringify(createDocument()), DEFAULTS), []);
});

test("the check accepts what the hosts' decoder accepts, and finds what it finds", () => {
    const decoder = new PlatformDecoder(DEFAULTS);
    const odd = fc.oneof(fc.jsonValue(), fc.constantFrom("{", "", "null"));
    const fields = Object.keys(createDocument());
    fc.assert(
        fc.property(fc.constantFrom(...fields), odd, fc.boolean(), (field, value, isWhole) => {
            const text = isWhole ? JSON.stringify(value) : JSON.stringify(createDocument({ [field]: value }));
            const item = decoder.decode("op/config", text);
            const findings = findDocumentFindings(text, DEFAULTS);
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
        stdout: "tenants[\" soles\"]: an HTTP header field can't carry its name unchanged\n",
    });
    assert.is(runProgram("{").status, 2);
    assert.is(spawnSync(process.execPath, [PROGRAM, join(folder, "missing")]).status, 3);
});

test.run();

function runProgram(text: string): { status: number | null; stdout: string; } {
    const file = join(folder, "document.json");
    writeFileSync(file, text);
    const { status, stdout } = spawnSync(process.execPath, [PROGRAM, file], { encoding: "utf8" });
    return { status, stdout };
}
