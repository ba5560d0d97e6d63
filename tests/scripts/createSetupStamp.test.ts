import { resolve } from "node:path";
import { pathToFileURL } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

type CreateSetupStamp = (lock: string, machine: { platform: string; arch: string; version: string; }) => string;

const MACHINE = { platform: "linux", arch: "x64", version: "v20.19.0" };

test("packages that were installed on another kind of machine are installed again", async () => {
    const file = pathToFileURL(resolve("scripts/createSetupStamp.mjs")).href;
    const { createSetupStamp } = await import(file) as { createSetupStamp: CreateSetupStamp; };
    const stamp = createSetupStamp("lock", MACHINE);
    assert.is(createSetupStamp("lock", { ...MACHINE, version: "v20.20.2" }), stamp);
    const others = [{ arch: "arm64" }, { platform: "darwin" }, { version: "v22.1.0" }];
    others.forEach(other => assert.is.not(createSetupStamp("lock", { ...MACHINE, ...other }), stamp));
    assert.is.not(createSetupStamp("other lock", MACHINE), stamp);
});

test.run();
