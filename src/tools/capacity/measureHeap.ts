import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Measures the heap in use after a garbage collection, in bytes. */
export function measureHeap(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    collect();
    return process.memoryUsage().heapUsed;
}
