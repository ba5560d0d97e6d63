/** The connections that pass through the soak's proxies. */
export enum LinkKind {
    /** From one host to the store. */
    HostToStore = "host-to-store",
    /** From all other hosts to one. */
    Hosts = "hosts",
    /** From all hosts to one upstream. */
    HostsToUpstream = "hosts-to-upstream",
}
