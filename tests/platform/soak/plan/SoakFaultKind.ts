/** The kinds of faults and changes of a soak run. */
export enum SoakFaultKind {
    /** SIGSTOP, and SIGCONT at its end. */
    Pause = "pause",
    /** SIGKILL, and a restart at its end. */
    Kill = "kill",
    /** SIGTERM, SIGKILL after the grace period, and a restart. */
    Terminate = "terminate",
    /** SIGHUP. */
    Reload = "reload",
    /** A fault of the connections to a host, to an upstream or of a host to the store. */
    Link = "link",
    /** A fault of the store for all hosts. */
    Store = "store",
    /** The store discards its history of changes. */
    ForgetHistory = "forget-history",
    /** The store returns at the end from the copy of the beginning. */
    RestoreStore = "restore-store",
    /** A new configuration that adds a key and withdraws the one before. */
    ChangeKeys = "change-keys",
    /** A share of an upstream's requests goes wrong. */
    Upstream = "upstream",
    /** A share of the requests goes wrong at all upstreams of a service. */
    Service = "service",
    /** More callers of the account with a rate, who don't pause. */
    Press = "press",
    /** An upstream drains, ends, and comes back under another id. */
    Leave = "leave",
    /** An upstream ends without a word, and one with another id and service takes its address. */
    Replace = "replace",
}
