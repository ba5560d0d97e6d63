import { test } from "uvu";
import * as assert from "uvu/assert";
import { createKey, isKeyValid } from "../../src/configuration/index.js";

const createBytes = (size: number): Buffer => Buffer.alloc(size, size);

test("a key's record holds no secret and admits only the secret that belongs to it", () => {
    const { text, record } = createKey("shop-1", createBytes);
    const [id, secret] = text.split(".");
    assert.is(record.id, id);
    assert.is.not(JSON.stringify(record).includes(secret!), true);
    assert.is(isKeyValid(record, secret!), true);
    assert.is(isKeyValid(record, `${secret}x`), false);
    assert.is(isKeyValid(record, ""), false);
});

test("a withdrawn key admits nothing", () => {
    const { text, record } = createKey("shop-1", createBytes);
    assert.is(isKeyValid({ ...record, withdrawn: true }, text.split(".")[1]!), false);
});

test("keys differ from one another", () => {
    assert.is.not(createKey("shop-1").text, createKey("shop-1").text);
});

test.run();
