/** How a compare-and-swap ended. */
export enum WriteResultKind {
    Written = "written",
    Conflict = "conflict",
}
