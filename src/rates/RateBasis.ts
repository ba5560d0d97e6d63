/** How much of an account's rate was available to a decision. */
export enum RateBasis {
    /** The whole rate; all owners of the account could be asked. */
    Whole = "whole",
    /** The whole rate, but the owner took over recently and its burst has not filled yet. */
    NewOwner = "new-owner",
    /** Less than the whole rate, because not every owner could be asked. */
    Partial = "part",
}
