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

test("decodes the operators' configuration", () => {
    const item = decoder.decode("op/config", JSON.stringify(createDocument()));
    assert.ok(item.kind === StoreItemKind.Configuration);
    const { accountsByKey, ...rest } = item.document;
    checkSnapshot("platform/document", { ...rest, accountsByKey: [...accountsByKey] });
});

test("decodes an upstream's registration with its id, start time and remaining cold start time", () => {
    const entry = createRegistration({ state: "draining", cold_left_s: 1.5, born: 1_700_000_000_000 });
    checkSnapshot("platform/registration", decoder.decode("servers/i-1", JSON.stringify(entry)));
});

test("a cold time that is missing, negative or no number counts as not cold", () => {
    for (const cold of [undefined, null, -1, "3", [], {}, 0]) {
        const item = decoder.decode("servers/i-1", JSON.stringify(createRegistration({ cold_left_s: cold })));
        assert.ok(item.kind === StoreItemKind.Upstream && item.upstream.coldMs === 0, JSON.stringify(cold));
    }
});

test("decodes how long upstreams are cold and what they accept meanwhile", () => {
    const { services } = createDocument() as { services: Record<string, object>; };
    const changed = { ...services, orders: { ...services["orders"], cold_start_s: 3, cold_per_s: 4.6 } };
    const item = decoder.decode("op/config", JSON.stringify(createDocument({ services: changed })));
    assert.ok(item.kind === StoreItemKind.Configuration);
    const found = item.document.services.map(({ name, coldStartMs, coldRate }) => [name, coldStartMs, coldRate]);
    assert.equal(found, [["catalogue", undefined, undefined], ["orders", 3_000, 4.6], ["books", undefined, undefined]]);
});

test("an invalid entry decodes to the reason why it is invalid", () => {
    const bad: [string, string][] = [
        ["servers/i-1", "no json"],
        ...["", " i-1", "i\n1", "\u0e23"].map((id): [string, string] => [
            `servers/${id}`,
            JSON.stringify(createRegistration()),
        ]),
        ["servers/i-1", "{}"],
        ["servers/i-1", JSON.stringify(createRegistration({ state: "sleeping" }))],
        ["servers/i-1", JSON.stringify(createRegistration({ addr: "somewhere" }))],
        ["servers/i-1", JSON.stringify(createRegistration({ slots: "6" }))],
        ["op/config", JSON.stringify({ ...createDocument(), limits: undefined })],
        ["op/config", "[".repeat(100_000)],
        ["servers/i-1", "[".repeat(100_000) + "]".repeat(100_000)],
        ...["1.2.3.4:99999", "1.2.3.4:0", "999.999.1.1:80", "1.2.3:80", "1.2.3.4:80:80"].map((
            addr,
        ): [string, string] => [
            "servers/i-1",
            JSON.stringify(createRegistration({ addr })),
        ]),
        ["servers/i-1", JSON.stringify(createRegistration()).replace("\"slots\":6", "\"slots\":1e999")],
        ["servers/i-1", JSON.stringify(createRegistration({ slots: Number.MAX_SAFE_INTEGER }))],
        ["servers/i-1", JSON.stringify(createRegistration({ cold_left_s: 1e300 }))],
        ["servers/i-1", JSON.stringify(createRegistration({ seq: 1e300 }))],
        ...[{ peerAddress: "1.2.3.4:99999" }, { callerAddress: "999.1.1.1:80" }, { capacity: 1e300 }].map(
            (change): [string, string] => ["fuchsiapath/hosts/a", JSON.stringify({ ...createMember(0), ...change })],
        ),
        ["fuchsiapath/hosts/a", JSON.stringify({ id: "a" })],
    ];
    for (const [key, value] of bad) {
        const item = decoder.decode(key, value);
        assert.ok(item.kind === StoreItemKind.Invalid && item.reason !== "", `${key} ${value}`);
    }
});

test("decodes a host's entry with a capacity, and one of an earlier version without", () => {
    const entry = createMember(0);
    for (const member of [entry, { ...entry, capacity: 54 }]) {
        assert.equal(decoder.decode("fuchsiapath/hosts/host-0", JSON.stringify(member)), {
            kind: StoreItemKind.Host,
            member,
        });
    }
});

test("decodes an evacuated zone", () => {
    for (const value of ["{}", "{\"since\":1}"]) {
        assert.equal(decoder.decode("op/evacuate/kudus", value), { kind: StoreItemKind.Evacuation, zone: "kudus" });
    }
    for (const [key, value] of [["kudus", "{"], ["kudus", "7"], ["kudus", "[]"], ["kudus", ""], ["", "{}"]]) {
        assert.is(decoder.decode(`op/evacuate/${key}`, value!).kind, StoreItemKind.Invalid, `${key} ${value}`);
    }
});

test("ignores unknown keys", () => {
    assert.equal(decoder.decode("op/other", "x"), { kind: StoreItemKind.Other });
});

test.run();
