/** Which part of an account's rate a decision rests on. */
export enum RateBasis {
    /** The whole rate, kept by the account's owners. */
    Whole = "whole",
    /** The whole rate, by an owner that took over lately, so that the burst of its share has not filled yet. */
    NewOwner = "new-owner",
    /** Less than the whole rate, as not every owner could be asked. */
    Partial = "part",
}
