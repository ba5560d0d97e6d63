import { parentPort, workerData } from "node:worker_threads";
import { runMatrixCase } from "../matrix/index.js";
import type { MatrixCase } from "../matrix/index.js";

/* Runs the cases that a thread was given and posts each result. */
for (const matrixCase of workerData as readonly MatrixCase[]) {
    parentPort!.postMessage(await runMatrixCase(matrixCase));
}
