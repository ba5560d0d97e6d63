import type { BodyKind } from "./BodyKind.js";

/** A body for which memory is reserved. */
export interface BodyPlace {
    readonly kind: BodyKind;
    /** How much is reserved, in bytes. */
    bytes: number;
    /** How much has come, in bytes. */
    receivedBytes: number;
    /** How much had come at the time of the last progress, in bytes. */
    progressBytes: number;
    /** Clock time of the last progress, in milliseconds. */
    progressTime: number;
    /** Clock time of the last byte, in milliseconds. */
    lastByteTime: number;
    /** Clock time at which the request's time is over, in milliseconds. */
    readonly endTime: number;
    /** Called when the place is taken away. */
    readonly onEvicted: (detail: string) => void;
    isComplete: boolean;
}
