/** How the store is reached. */
export interface HttpStoreOptions {
    /** The store's address, as "http://ip:port". */
    readonly url: string;
    /** Time until a call counts as failed, in milliseconds; a watch's own wait is added. */
    readonly timeoutMs: number;
    /** Connections that are opened at most. */
    readonly connections?: number;
}
