/** Asks a host for the head that it has installed, as a difference where it can. */
export interface HeadRequest {
    /** The peer address of the host that asks. */
    readonly from: string;
    /** The head version that this host has installed; 0 if none. */
    readonly knownVersion: number;
    /** The versions of the views in that head. */
    readonly knownViews: readonly number[];
}
