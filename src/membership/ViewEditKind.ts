/** The kinds of requested changes of a membership view. */
export enum ViewEditKind {
    Join = "join",
    Leave = "leave",
}
