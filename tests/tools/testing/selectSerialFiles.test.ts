import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { selectSerialFiles } from "../../../src/tools/testing/selectSerialFiles.js";

const test = suite("selectSerialFiles");

test("only files below a folder of crowds run one at a time", () => {
    const serial = [join("dist", "platform", "crowds", "a.test.js"), join("dist", "crowds", "b", "c.test.js")];
    const others = [join("dist", "platform", "edge.test.js"), join("dist", "platform", "crowds.test.js")];
    assert.equal(selectSerialFiles([...others, ...serial]), serial);
    assert.equal(selectSerialFiles(others), []);
});

test.run();
