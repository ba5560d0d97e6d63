/** The state of a request at a service host. */
export enum RequestState {
    /** It is queued or running, so the lookup should be repeated. */
    Running = "running",
    /** It has ended. */
    Finished = "finished",
    /** It has not arrived here and is refused if it arrives later, so it has not run here and will not. */
    NeverSeen = "never-seen",
    /** It may be older than the oldest complete records, so it may have run here. */
    Forgotten = "forgotten",
}
