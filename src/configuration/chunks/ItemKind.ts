/** The kinds of items in a chunk; each value is the name of the chunk's field that lists them. */
export enum ItemKind {
    Account = "accounts",
    Key = "keys",
    Route = "routes",
    Service = "services",
    Upstream = "upstreams",
}
