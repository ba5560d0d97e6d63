/** The calls of the platform's store over HTTP; each is the last part of a POST request's path. */
export enum StoreMethod {
    Get = "get",
    CompareAndSwap = "compare-and-swap",
    Remove = "remove",
    Watch = "watch",
    CreateLease = "create-lease",
    RenewLease = "renew-lease",
    ReleaseLease = "release-lease",
}
