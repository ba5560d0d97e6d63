/** What a watcher of the store has said last. */
export interface WatcherReport {
    /** When it was heard, in milliseconds of the clock. */
    readonly time: number;
    readonly unreachable: ReadonlySet<string>;
}
