import bunyan from "bunyan";
import type { LogSink } from "./LogSink.js";

/**
 * Creates a logger that writes JSON lines.
 * @param name - The program's name.
 * @param level - The minimum level to write.
 * @param sink - The destination; standard error by default.
 * @param host - The host's id; the machine's hostname by default.
 */
export function createLogger(
    name: string,
    level: bunyan.LogLevelString = "info",
    sink: LogSink = process.stderr,
    host?: string,
): bunyan {
    const streams = [{ level, stream: sink as NodeJS.WritableStream }];
    const fields = host === undefined ? { name } : { name, hostname: host };
    return bunyan.createLogger({ ...fields, streams, serializers: { err: bunyan.stdSerializers.err } });
}
