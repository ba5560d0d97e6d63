import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Measures the bytes in use on the heap and in array buffers, after a full collection. */
export function measureHeap(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    collect();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
