/** The methods of the platform's store over HTTP; each value is the last path segment of a POST request. */
export enum StoreMethod {
    Get = "get",
    CompareAndSwap = "compare-and-swap",
    Remove = "remove",
    Watch = "watch",
    CreateLease = "create-lease",
    RenewLease = "renew-lease",
    ReleaseLease = "release-lease",
}
