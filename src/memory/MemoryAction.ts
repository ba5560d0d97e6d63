/** What is done with a request when the memory of its kind is short. */
export enum MemoryAction {
    /** It is refused before it is read. */
    Refused = "refused",
    /** It is refused while it is being read. */
    Evicted = "evicted",
    /** Its answer is cut. */
    Cut = "cut",
    /** Its connection is closed. */
    Closed = "closed",
}
