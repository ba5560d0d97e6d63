/** The kinds of item in a chunk; each is the name of the chunk's list. */
export enum ItemKind {
    Account = "accounts",
    Key = "keys",
    Route = "routes",
    Service = "services",
    Upstream = "upstreams",
}
