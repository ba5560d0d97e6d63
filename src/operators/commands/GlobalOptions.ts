/** The options that all commands have. */
export interface GlobalOptions {
    /** Addresses of the entry hosts' operator listeners, tried in order. */
    readonly address: readonly string[];
    /** The operator's bearer token. */
    readonly token: string | undefined;
    /** Whether to write JSON instead of text. */
    readonly json: boolean;
}
