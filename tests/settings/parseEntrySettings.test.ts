import { test } from "uvu";
import * as assert from "uvu/assert";
import { FindingsError } from "../../src/errors/index.js";
import { parseEntrySettings } from "../../src/settings/index.js";
import { checkSnapshot } from "../support/checkSnapshot.js";

test("reports all validation errors together with their locations", () => {
    const text = JSON.stringify({
        id: "a b",
        zone: "z",
        callerAddress: "localhost:80",
        lookupLifetimeMs: 1.5,
        extra: 1,
    });
    try {
        parseEntrySettings(text);
        assert.unreachable("the settings were accepted");
    }
    catch (error) {
        checkSnapshot("settings/findings", (error as FindingsError).message + "\n");
    }
});

test("rejects a text that is not JSON", () => {
    assert.throws(() => parseEntrySettings("{"), (error: unknown) => error instanceof FindingsError);
});

test.run();
