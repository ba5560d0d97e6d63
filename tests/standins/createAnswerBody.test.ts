import { test } from "uvu";
import * as assert from "uvu/assert";
import { createAnswerBody } from "../../src/standins/createAnswerBody.js";

test("the size that the head names is the size of the body, whatever size was asked for", () => {
    for (const bytes of [0, 90, 99, 100, 101, 110, 111, 1000, 70_000, 200_000]) {
        const body = createAnswerBody({ requestId: "r", path: "/stock/soles?ref=1", upstream: "catalogue-02", bytes });
        const content = Buffer.concat([...body.chunks]);
        const head = JSON.parse(content.subarray(0, content.indexOf("\n")).toString()) as { bytes: number; };
        assert.equal([head.bytes, content.length], [body.bytes, body.bytes]);
        assert.ok(body.bytes >= bytes);
    }
});

test.run();
