/** How the time of a stand-in's work is distributed. */
export enum ServiceTimeKind {
    Fixed = "fixed",
    Exponential = "exponential",
    LogNormal = "log-normal",
}
