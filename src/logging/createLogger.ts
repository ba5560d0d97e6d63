import bunyan from "bunyan";
import type { LogSink } from "./LogSink.js";

/**
 * Creates a logger that writes JSON lines.
 * @param name - The program's name.
 * @param level - The lowest level that is written.
 * @param sink - Where to; standard error unless it is given.
 */
export function createLogger(
    name: string,
    level: bunyan.LogLevelString = "info",
    sink: LogSink = process.stderr,
): bunyan {
    const streams = [{ level, stream: sink as NodeJS.WritableStream }];
    return bunyan.createLogger({ name, streams, serializers: { err: bunyan.stdSerializers.err } });
}
