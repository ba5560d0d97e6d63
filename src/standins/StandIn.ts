/** A running stand-in of the program fuchsiapath-standin. */
export interface StandIn {
    /** What the program prints once it listens. */
    readonly report: object;
    /** Stops listening and closes all connections. */
    stop(): Promise<void>;
}
