/** A request as a caller sends it. */
export interface OutgoingRequest {
    /** The host, as "http://ip:port". */
    readonly url: string;
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
    /** Time until the head of the answer, in milliseconds. */
    readonly timeoutMs: number;
}
