/** What happens to the connections of a link. */
export enum LinkMode {
    Open = "open",
    /** Each piece of data is late. */
    Delayed = "delayed",
    /** Connections are reset, and so are new ones. */
    Reset = "reset",
    /** What is sent to the target is held back until the end. */
    CutToTarget = "cut-to-target",
    /** What the target sends is held back until the end. */
    CutFromTarget = "cut-from-target",
    /** Open connections are silent for good; new ones work. */
    Silent = "silent",
}
