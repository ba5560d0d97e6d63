/** The content of an example's key file. */
export interface FleetKeys {
    readonly keys: readonly { readonly account: string; readonly key: string; }[];
}
