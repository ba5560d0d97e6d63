/** A process to start. */
export interface FleetProcessOptions {
    readonly name: string;
    /** Path of the compiled program. */
    readonly program: string;
    readonly args: readonly string[];
    /** Receives what the process writes to standard error. */
    readonly logFile: string;
}
