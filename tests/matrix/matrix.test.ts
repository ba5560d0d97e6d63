import { test } from "uvu";
import * as assert from "uvu/assert";
import { createMatrixCases, MatrixFault, MatrixProtocol, runMatrixCase } from "../../src/matrix/index.js";

/** Takes a part of the matrix that meets every protocol and every fault; npm run matrix runs the whole. */
const EVERY = 67;

const cases = createMatrixCases();
const part = cases.filter((_, index) => index % EVERY === 0);

test("the part of the matrix meets every protocol and every fault", () => {
    assert.equal(new Set(part.map(one => one.protocol)), new Set(Object.values(MatrixProtocol)));
    assert.equal(new Set(part.flatMap(one => one.faults)), new Set(Object.values(MatrixFault)));
});

for (const matrixCase of part) {
    const { protocol, faults, offsetMs, seed } = matrixCase;
    test(`${protocol} with ${faults.join(" and ")} at ${offsetMs} ms, seed ${seed}`, async () => {
        assert.equal((await runMatrixCase(matrixCase)).findings, []);
    });
}

test.run();
