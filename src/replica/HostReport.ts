/** What a host says of whether another one answers. */
export interface HostReport {
    /** The member id of the host that it is about. */
    readonly id: string;
    /** The member id of the host that says so. */
    readonly reporter: string;
    /** When the reporter saw it, by its own clock in milliseconds since the Unix epoch; tells its reports apart. */
    readonly stamp: number;
    readonly isSilent: boolean;
    /** How long ago that was seen, in milliseconds; in an answer, before the arrival of the call. */
    readonly ageMs: number;
}
