import bunyan from "bunyan";

/**
 * Creates a logger that writes JSON lines to standard error.
 * @param name - The program's name.
 * @param level - The lowest level that is written.
 */
export function createLogger(name: string, level: bunyan.LogLevelString = "info"): bunyan {
    return bunyan.createLogger({ name, level, stream: process.stderr });
}
