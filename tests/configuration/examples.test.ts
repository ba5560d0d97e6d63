import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { IndexedConfiguration, isKeyValid, parseDocument } from "../../src/configuration/index.js";

interface ExampleKeys {
    readonly keys: readonly { readonly account: string; readonly key: string; }[];
}

const SIZES = {
    kelom: { counts: { catalogue: 9, orders: 15, "pattern-books": 6 }, slots: 6, connections: 330 },
    guild: { counts: { register: 10, "order-ledger": 18, "pattern-store": 6 }, slots: 2, connections: 360 },
};

for (const [name, sizes] of Object.entries(SIZES)) {
    test(`the example document of ${name} is valid, has the specified sizes and accepts its example keys`, () => {
        const text = readFileSync(`examples/${name}/configuration.json`, "utf8");
        const configuration = new IndexedConfiguration(1, parseDocument(text));
        const services = configuration.getServices();
        assert.equal(Object.fromEntries(services.map(({ name, upstreams }) => [name, upstreams.length])), sizes.counts);
        for (const upstream of services.flatMap(service => service.upstreams)) {
            assert.is(upstream.slots, sizes.slots);
            assert.is(upstream.connections, sizes.connections);
        }
        const { keys } = JSON.parse(readFileSync(`examples/${name}/keys.json`, "utf8")) as ExampleKeys;
        const names = configuration.getAccounts().map(account => account.name);
        assert.equal(keys.map(key => key.account).sort(), names.sort());
        for (const { account, key } of keys) {
            const [id, secret] = key.split(".");
            const record = configuration.getKey(id!)!;
            assert.is(record.account, account);
            assert.ok(isKeyValid(record, secret!));
        }
    });
}

test.run();
