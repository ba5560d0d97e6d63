import { test } from "uvu";
import * as assert from "uvu/assert";
import { createKey, isKeyValid } from "../../src/configuration/index.js";

const createBytes = (size: number): Buffer => Buffer.alloc(size, size);

test("the record of a key contains no secret and accepts only the secret of the key", () => {
    const { text, record } = createKey("shop-1", createBytes);
    const [id, secret] = text.split(".");
    assert.is(record.id, id);
    assert.is.not(JSON.stringify(record).includes(secret!), true);
    assert.is(isKeyValid(record, secret!), true);
    assert.is(isKeyValid(record, `${secret}x`), false);
    assert.is(isKeyValid(record, ""), false);
});

test("a withdrawn key is not accepted", () => {
    const { text, record } = createKey("shop-1", createBytes);
    assert.is(isKeyValid({ ...record, withdrawn: true }, text.split(".")[1]!), false);
});

test("two created keys differ", () => {
    assert.is.not(createKey("shop-1").text, createKey("shop-1").text);
});

test.run();
