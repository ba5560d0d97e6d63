/** The answer to a part of an incarnation's order records. */
export interface HandOverOrdersResult {
    readonly isAccepted: boolean;
}
