import { Worker } from "node:worker_threads";
import yargs from "yargs";
import { createMatrixCases, formatMatrix } from "../matrix/index.js";
import type { MatrixResult } from "../matrix/index.js";

/* Runs the fault matrix over several threads and prints its table; exit code 1 if a case has findings. */
const options = await yargs(process.argv.slice(2))
    .option("threads", { type: "number", default: 6, describe: "threads that run cases" })
    .option("every", { type: "number", default: 1, describe: "run only every n-th case" })
    .option("first", { type: "number", default: 0, describe: "number of the first case to run" })
    .strict()
    .parse();

const cases = createMatrixCases().filter((_, index) => index % options.every === options.first % options.every);
const shards = Array.from(
    { length: options.threads },
    (_, shard) => cases.filter((_case, index) => index % options.threads === shard),
);
const results = (await Promise.all(shards.map(runShard))).flat();
console.log(formatMatrix(results));
process.exitCode = results.some(result => result.findings.length > 0) ? 1 : 0;

function runShard(shard: typeof cases): Promise<MatrixResult[]> {
    return new Promise((resolve, reject) => {
        const found: MatrixResult[] = [];
        const worker = new Worker(new URL("./matrix-worker.js", import.meta.url), { workerData: shard });
        worker.on("message", (result: MatrixResult) => found.push(result));
        worker.once("error", reject);
        worker.once("exit", () => resolve(found));
    });
}
