/** What a service host knows of a request that it was asked about. */
export enum RequestState {
    /** It waits or runs; ask again. */
    Running = "running",
    /** It has ended. */
    Finished = "finished",
    /** It was never seen and is refused from now on: it has not run here and will not. */
    NeverSeen = "never-seen",
    /** The memory does not reach back far enough. */
    Forgotten = "forgotten",
}
