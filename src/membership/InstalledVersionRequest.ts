/** Asks a host which head it has installed. */
export interface InstalledVersionRequest {
    /** The peer address of the host that asks. */
    readonly from: string;
}
