/** One attempt on which an upstream seems to have crashed. */
export interface CrashEvent {
    /** The attempt's id at the service host. */
    readonly attemptId: string;
    /** Where the service host is reached, as "ip:port". */
    readonly hostAddress: string;
}
