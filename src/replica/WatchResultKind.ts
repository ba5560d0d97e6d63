/** What a wait for changes came to. */
export enum WatchResultKind {
    /** The changes since the given revision, perhaps none. */
    Events = "events",
    /** The store no longer has the changes since that revision; everything has to be read again. */
    HistoryLost = "history-lost",
}
