/** Options of a request; the default is a lookup with a valid key. */
export interface EdgeSendOptions {
    readonly method?: "GET" | "POST";
    readonly body?: string;
    readonly key?: string | undefined;
    /** The caller's id of the attempt. */
    readonly id?: string;
    /** The caller's time limit, in milliseconds. */
    readonly deadlineMs?: number;
}
