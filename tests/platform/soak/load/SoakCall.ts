/** What a caller received. */
interface SoakResponse {
    readonly status: number;
    /** The upstream's proof, if there is one. */
    readonly seal: string | undefined;
    /** The attempt id in the response. */
    readonly id: string | undefined;
    readonly body: string;
}

/** A caller's request and what became of it; times in milliseconds of the monotonic clock. */
export interface SoakCall {
    readonly id: string;
    /** The host it was sent to. */
    readonly host: string;
    readonly isOrder: boolean;
    readonly path: string;
    readonly body: string;
    /** Undefined for a public route. */
    readonly key: string | undefined;
    readonly sentTime: number;
    endTime: number;
    /** Undefined if no whole response came. */
    response: SoakResponse | undefined;
    /** Why no whole response came. */
    error: string | undefined;
}
