import { test } from "uvu";
import * as assert from "uvu/assert";
import { readSourceFiles } from "../support/readSourceFiles.js";

/** Names of the platform's header fields, routes, keys and settings, which only the adapter may use. */
const NAMES = new RegExp(
    [
        "[Ff]uchsiapath-([Aa]ttempt|[Dd]eadline|[Ee]xpect|[Tt]enant|[Nn]ot-|[Rr]esponse-|[Ii]nstance)",
        "kv-(txn|watch|range|lease|keep|key)",
        "op/config",
        "servers/",
        "store_revision|has_more|allow_stale|tombstone",
        "api_keys|rate_per_s|traffic_split|max_attempts|timeout_s|target_latency_s|cold_left_s|max_conns|health_path",
        "ttl_s|addrs\\b",
    ].join("|"),
);
/** The tests of the adapter and this test. */
const TEST_FILES = /^tests\/platform\/|^tests\/style\/platformNames/;

test("no file outside the adapter uses the platform's names", () => {
    const files = [...readSourceFiles("src"), ...readSourceFiles("tests")]
        .filter(file => !TEST_FILES.test(file.fileName));
    const findings = files.flatMap(file => {
        const lines = file.getFullText().split("\n");
        return lines.flatMap((line, index) =>
            NAMES.test(line) ? [`${file.fileName}:${index + 1}: ${line.trim()}`] : []
        );
    });
    assert.equal(findings, []);
});

test("the adapter has fewer than 1,500 lines", () => {
    const lines = readSourceFiles("platform").reduce((sum, file) => sum + file.getFullText().split("\n").length, 0);
    assert.ok(lines < 1_500, `${lines} lines`);
});

test.run();
