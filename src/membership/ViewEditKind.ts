/** The kinds of change to a membership view. */
export enum ViewEditKind {
    Join = "join",
    Leave = "leave",
}
