/** What a fault plan has in store for one request. */
export interface PlannedWork {
    readonly serviceTimeMs: number;
    readonly isError: boolean;
    readonly isCut: boolean;
    /** Whether a second answer follows that nobody asked for. */
    readonly isStray: boolean;
    /** Whether the answer belongs to the request before. */
    readonly isCrossed: boolean;
    /** How long the finished answer is held back, in milliseconds. */
    readonly lateMs: number;
}
