/** Whether a part of an incarnation's order records was taken over. */
export interface HandOverOrdersResult {
    readonly isAccepted: boolean;
}
