/** Kinds of results of a wait for changes. */
export enum WatchResultKind {
    /** The changes since the given revision; there may be none. */
    Events = "events",
    /** The store no longer has the changes since that revision; all items have to be read again. */
    HistoryLost = "history-lost",
}
