/** Who may use a route. */
export enum RouteAccess {
    /** Any caller, with or without a key. */
    Open = "open",
    /** Only client accounts with a valid key. */
    Accounts = "accounts",
}
