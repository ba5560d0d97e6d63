import type { PartLoadReport } from "../../services/index.js";

/** The last load report of a part of a service, and the number of attempts sent to the part since then. */
export interface PartLoad {
    readonly report: PartLoadReport;
    /** Time of the report, in milliseconds of the clock. */
    readonly time: number;
    sentSinceReport: number;
}
