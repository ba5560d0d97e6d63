import { readFileSync } from "node:fs";
import type { EdgeProcess } from "./EdgeProcess.js";

const BYTES_PER_KB = 1_024;

/** Gets the most memory that a host's process has had, in bytes; undefined if it has ended. */
export function getPeakMemory(host: EdgeProcess): number | undefined {
    const id = host.getProcessId();
    const line = id === undefined ? undefined : /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${id}/status`, "utf8"));
    return line === undefined || line === null ? undefined : Number(line[1]) * BYTES_PER_KB;
}
