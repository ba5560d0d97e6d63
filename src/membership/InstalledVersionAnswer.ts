/** Which head a host has installed. */
export interface InstalledVersionAnswer {
    /** The member id of the host that answers. */
    readonly from: string;
    /** 0 if none. */
    readonly headVersion: number;
}
