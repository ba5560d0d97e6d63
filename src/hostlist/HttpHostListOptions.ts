/** How the platform's list of hosts is reached. */
export interface HttpHostListOptions {
    /** The list's address, as "http://ip:port". */
    readonly url: string;
    /** Time until a call counts as failed, in milliseconds. */
    readonly timeoutMs: number;
}
