import bunyan from "bunyan";

/**
 * Creates a logger that writes JSON lines.
 * @param name - The program's name.
 * @param level - The lowest level that is written.
 * @param stream - Where to; standard error unless it is given.
 */
export function createLogger(
    name: string,
    level: bunyan.LogLevelString = "info",
    stream: NodeJS.WritableStream = process.stderr,
): bunyan {
    return bunyan.createLogger({ name, level, stream });
}
