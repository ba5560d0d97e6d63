/** Asks a host for its installed head version. */
export interface InstalledVersionRequest {
    /** The peer address of the requesting host. */
    readonly from: string;
}
