/** Kinds of items of the platform's store. */
export enum StoreItemKind {
    /** The operators' newest configuration. */
    Configuration = "configuration",
    /** The registration of an upstream. */
    Upstream = "upstream",
    /** The registration of an entry host. */
    Host = "host",
    /** An operator's request that a zone's upstreams get nothing new. */
    Evacuation = "evacuation",
    /** An item that is not used here. */
    Other = "other",
    /** An item that can't be decoded; it counts as removed. */
    Invalid = "invalid",
}
