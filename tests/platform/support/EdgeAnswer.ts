/** What a caller got. */
export interface EdgeAnswer {
    readonly status: number;
    readonly body: string;
    readonly headers: Record<string, string | string[] | undefined>;
}
