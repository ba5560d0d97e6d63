/** The role in which an entry host receives a forwarded request. */
export enum PeerRequestKind {
    Service = "service",
    Account = "account",
}
