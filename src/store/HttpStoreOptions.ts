/** Options of the HTTP client of the store. */
export interface HttpStoreOptions {
    /** The store's address, as "http://ip:port". */
    readonly url: string;
    /** Timeout of a call, in milliseconds; for a watch, its wait is added. */
    readonly timeoutMs: number;
    /** Maximum number of connections; 16 if left out. */
    readonly connections?: number;
}
