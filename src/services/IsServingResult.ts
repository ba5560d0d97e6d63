/** Whether a service host takes requests. */
export interface IsServingResult {
    readonly isServing: boolean;
}
