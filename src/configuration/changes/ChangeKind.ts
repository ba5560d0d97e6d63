/** The kind of an operation within a change. */
export enum ChangeKind {
    PutSection = "put-section",
    RemoveSection = "remove-section",
    PutAccount = "put-account",
    RemoveAccount = "remove-account",
    PutKey = "put-key",
    WithdrawKey = "withdraw-key",
    DrainUpstream = "drain-upstream",
}
