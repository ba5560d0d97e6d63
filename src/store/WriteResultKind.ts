/** The kinds of results of a compare-and-swap. */
export enum WriteResultKind {
    Written = "written",
    Conflict = "conflict",
}
