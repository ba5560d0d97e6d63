/** The lifecycle states of an entry host. */
export enum HostState {
    Starting = "starting",
    Serving = "serving",
    Stopping = "stopping",
    Stopped = "stopped",
}
