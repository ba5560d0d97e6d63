import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { WorkCost } from "./WorkCost.js";

/**
 * Measures the processor time of a piece of work and the heap that it leaves in use.
 * @param work - The work; what it returns is kept alive until the heap was measured.
 */
export async function measureWork(work: () => unknown): Promise<WorkCost> {
    const bytesBefore = getHeapBytes();
    const cpuBefore = process.cpuUsage();
    const kept = await work();
    const cpu = process.cpuUsage(cpuBefore);
    const bytes = getHeapBytes() - bytesBefore;
    return { cpuUs: cpu.user + cpu.system, bytes: kept === undefined ? 0 : bytes };
}

function getHeapBytes(): number {
    setFlagsFromString("--expose_gc");
    const runCollection = runInNewContext("gc") as () => void;
    runCollection();
    return process.memoryUsage().heapUsed;
}
