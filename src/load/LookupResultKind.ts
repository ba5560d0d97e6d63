/** How a lookup of addresses ended. */
export enum LookupResultKind {
    Found = "found",
    /** The system refused it, for example because the key is unknown. */
    Refused = "refused",
    /** No entry host answered. */
    NoAnswer = "no-answer",
}
