/** Asks a host to probe another one. */
export interface ProbeRequest {
    /** The peer address of the host to probe. */
    readonly address: string;
}
