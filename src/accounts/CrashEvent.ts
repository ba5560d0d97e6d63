/** An attempt during which an upstream appears to have crashed. */
export interface CrashEvent {
    /** The attempt's id at the service host. */
    readonly attemptId: string;
    /** The service host's peer address, as "ip:port". */
    readonly hostAddress: string;
}
