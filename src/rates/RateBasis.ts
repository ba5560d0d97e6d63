/** Which part of an account's rate a decision rests on. */
export enum RateBasis {
    /** The whole rate, kept by the account's owner. */
    Whole = "whole",
    /** The whole rate, by an owner that took over lately, so that its burst has not filled yet. */
    NewOwner = "new-owner",
    /** An even part of the rate, as no owner could be asked for the whole. */
    Part = "part",
}
