/** What a caller got. */
export interface EdgeResponse {
    readonly status: number;
    readonly body: string;
    readonly headers: Record<string, string | string[] | undefined>;
}
