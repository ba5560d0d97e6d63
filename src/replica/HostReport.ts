/** A host's report of whether another host answers. */
export interface HostReport {
    /** The member id of the host that the report is about. */
    readonly id: string;
    /** The member id of the host that made the report. */
    readonly reporter: string;
    /** When the reporter made it, by its own clock, in milliseconds since the Unix epoch; orders the reports of one reporter. */
    readonly stamp: number;
    readonly isSilent: boolean;
    /** Age of the report in milliseconds; in a result, its age when the call arrived. */
    readonly ageMs: number;
}
