import { readFileSync } from "node:fs";
import type { EdgeProcess } from "./EdgeProcess.js";

const BYTES_PER_KB = 1_024;

/** Gets the most memory that a host's process has had, in bytes. */
export function getPeakMemory(host: EdgeProcess): number {
    const status = readFileSync(`/proc/${host.getProcessId()}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) * BYTES_PER_KB;
}
