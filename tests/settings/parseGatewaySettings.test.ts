import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseGatewaySettings } from "../../src/settings/index.js";

const TEMPLATE = readFileSync("deploy/settings.json.template", "utf8");
const FIELDS = {
    node: "edge-1",
    region: "region-1",
    zone: "zone-a",
    ip: "127.0.0.1",
    listen: { front: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3" },
    internal_ports: [4, 5],
    platform: { addr: "127.0.0.1:6" },
    bounds: {
        grace_s: 6,
        ttl_max_s: 5,
        floor_share: 0.7,
        retry_budget: 0.2,
        budget_slack: 58,
        budget_window_s: 10,
    },
};
const LIMITS = { cpu_share: 0.54, cores: 1, link_mbps: 1_000 };

/** Fills in the template as the platform does; a field without a value becomes null in JSON. */
function createSettings(fields: object): string {
    return TEMPLATE.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path: string, json: string | undefined) => {
        const value = path.split(".").reduce<unknown>(
            (object, key) => (object as Record<string, unknown> | undefined)?.[key],
            fields,
        );
        return json === undefined ? String(value ?? "") : JSON.stringify(value ?? null);
    });
}

test("the deploy file's template gives the memory and the descriptors of the machine", () => {
    const limits = { ...LIMITS, memory_mb: 350, max_fds: 4_100 };
    const settings = parseGatewaySettings(createSettings({ ...FIELDS, limits }));
    assert.equal([settings.memoryMegabytes, settings.maxDescriptors], [350, 4_100]);
});

test("a machine whose memory and descriptors are not named gets the defaults", () => {
    const settings = parseGatewaySettings(createSettings({ ...FIELDS, limits: LIMITS }));
    assert.equal([settings.memoryMegabytes, settings.maxDescriptors], [1_000, 4_096]);
});

test.run();
