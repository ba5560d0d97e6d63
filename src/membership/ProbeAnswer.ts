/** Whether a third host answered. */
export interface ProbeAnswer {
    readonly isAnswering: boolean;
}
