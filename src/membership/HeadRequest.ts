/** Asks a host for its installed head, as a difference to a known one if possible. */
export interface HeadRequest {
    /** The peer address of the requesting host. */
    readonly from: string;
    /** The head version that the requesting host has installed; 0 if none. */
    readonly knownVersion: number;
    /** The versions of the views in that head. */
    readonly knownViews: readonly number[];
}
