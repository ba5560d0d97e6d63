import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlatformDecoder } from "../../platform/supply/index.js";
import { StoreItemKind } from "../../src/supply/index.js";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { createMember } from "../support/createMember.js";
import { createDocument } from "./support/createDocument.js";
import { createRegistration } from "./support/createRegistration.js";

const decoder = new PlatformDecoder({
    floor: 0.7,
    retryBudget: 0.2,
    queuePerSlot: 2,
    detection: { healthyErrorRate: 0.02, failingErrorRate: 0.9, ejectThreshold: 3, slowFactor: 4, probationMs: 1_000 },
});

test("the operators' configuration is decoded into the product's terms", () => {
    const item = decoder.decode("op/config", JSON.stringify(createDocument()));
    assert.ok(item.kind === StoreItemKind.Configuration);
    const { accountsByKey, ...rest } = item.document;
    checkSnapshot("platform/document", { ...rest, accountsByKey: [...accountsByKey] });
});

test("an upstream's entry is decoded with its id, its start and what it has left of its cold time", () => {
    const entry = createRegistration({ state: "draining", cold_left_s: 1.5, born: 1_700_000_000_000 });
    checkSnapshot("platform/registration", decoder.decode("servers/i-1", JSON.stringify(entry)));
});

test("entries that can't be read name nothing, with a reason", () => {
    const bad: [string, string][] = [
        ["servers/i-1", "no json"],
        ["servers/i-1", "{}"],
        ["servers/i-1", JSON.stringify(createRegistration({ state: "sleeping" }))],
        ["servers/i-1", JSON.stringify(createRegistration({ addr: "somewhere" }))],
        ["servers/i-1", JSON.stringify(createRegistration({ slots: "6" }))],
        ["op/config", JSON.stringify({ ...createDocument(), limits: undefined })],
        ["fuchsiapath/hosts/a", JSON.stringify({ id: "a" })],
    ];
    for (const [key, value] of bad) {
        const item = decoder.decode(key, value);
        assert.ok(item.kind === StoreItemKind.Invalid && item.reason !== "", `${key} ${value}`);
    }
});

test("a host's entry is read with its capacity and, from an earlier version, without", () => {
    const entry = createMember(0);
    for (const member of [entry, { ...entry, capacity: 54 }]) {
        assert.equal(decoder.decode("fuchsiapath/hosts/host-0", JSON.stringify(member)), {
            kind: StoreItemKind.Host,
            member,
        });
    }
});

test("keys of no concern are passed over", () => {
    assert.equal(decoder.decode("op/other", "x"), { kind: StoreItemKind.Other });
});

test.run();
