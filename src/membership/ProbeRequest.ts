/** Asks a host whether a third host answers it. */
export interface ProbeRequest {
    /** The third host's peer address. */
    readonly address: string;
}
