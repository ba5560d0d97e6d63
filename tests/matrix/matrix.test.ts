import { test } from "uvu";
import * as assert from "uvu/assert";
import { createMatrixCases, MatrixFault, MatrixProtocol, runMatrixCase } from "../../src/matrix/index.js";

/** Runs only every 67th case, which still covers every protocol and every fault; npm run matrix runs all cases. */
const SAMPLE_INTERVAL = 67;

const cases = createMatrixCases();
const sample = cases.filter((_, index) => index % SAMPLE_INTERVAL === 0);

test("the sampled cases cover every protocol and every fault", () => {
    assert.equal(new Set(sample.map(matrixCase => matrixCase.protocol)), new Set(Object.values(MatrixProtocol)));
    assert.equal(new Set(sample.flatMap(matrixCase => matrixCase.faults)), new Set(Object.values(MatrixFault)));
});

for (const matrixCase of sample) {
    const { protocol, faults, offsetMs, seed } = matrixCase;
    test(`${protocol} with ${faults.join(" and ")} at ${offsetMs} ms, seed ${seed}`, async () => {
        assert.equal((await runMatrixCase(matrixCase)).findings, []);
    });
}

test.run();
