/** The head version that a host has installed. */
export interface InstalledVersionAnswer {
    /** The member id of the answering host. */
    readonly from: string;
    /** The installed version; 0 if none. */
    readonly headVersion: number;
}
