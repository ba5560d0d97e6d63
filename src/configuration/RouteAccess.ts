/** Who may use a route. */
export enum RouteAccess {
    /** Anyone, with or without a key. */
    Open = "open",
    /** Client accounts with a valid key. */
    Accounts = "accounts",
}
