/** How many items a document has; each account has one key. */
export interface DocumentSize {
    readonly accounts: number;
    readonly routes: number;
    readonly services: number;
    readonly upstreams: number;
}
