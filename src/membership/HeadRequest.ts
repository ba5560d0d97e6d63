/** Asks a host for the head that it has installed. */
export interface HeadRequest {
    /** The peer address of the host that asks. */
    readonly from: string;
}
