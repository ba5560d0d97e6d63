/** What one run of a detection experiment gave. */
export interface DetectionFigures {
    /** Time from the fault to the ejection in milliseconds; undefined if it was not ejected. */
    readonly detectionMs: number | undefined;
    /** Ejections of upstreams without a fault. */
    readonly falseEjections: number;
}
