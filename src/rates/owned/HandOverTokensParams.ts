/** Tokens that a former owner of accounts' rates gives to a new one; it has debited them before. */
export interface HandOverTokensParams {
    readonly tokens: readonly { readonly account: string; readonly tokens: number; }[];
}
