/** The options that all commands have. */
export interface GlobalOptions {
    readonly address: readonly string[];
    readonly token: string | undefined;
    readonly json: boolean;
}
