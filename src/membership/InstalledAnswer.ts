/** Which head a host has installed. */
export interface InstalledAnswer {
    /** The member id of the host that answers. */
    readonly from: string;
    /** 0 if none. */
    readonly headVersion: number;
}
