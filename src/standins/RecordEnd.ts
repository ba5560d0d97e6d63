/** How a request ended at an upstream stand-in. */
export enum RecordEnd {
    Running = "running",
    Answered = "answered",
    /** Refused before any work: no slot, or its deadline passed while it waited. */
    Shed = "shed",
    /** The client closed the connection. */
    Cancelled = "cancelled",
    /** Its deadline passed during the work. */
    Expired = "expired",
    Cut = "cut",
    Crashed = "crashed",
    /** Its connection had gone silent. */
    Silent = "silent",
}
