/** How far an upstream's health and load endpoints can be believed. */
export enum ReportMode {
    /** They tell what was true before the lag. */
    Lagging = "lagging",
    /** They always report a healthy and idle upstream. */
    AlwaysGood = "always-good",
    /** They always report a failing and full upstream. */
    AlwaysBad = "always-bad",
}
