/** Options of the HTTP client of the host list. */
export interface HttpHostListOptions {
    /** The list's address, as "http://ip:port". */
    readonly url: string;
    /** Timeout of a call, in milliseconds. */
    readonly timeoutMs: number;
}
