/** The result of asking a service host whether it accepts requests. */
export interface IsServingResult {
    readonly isServing: boolean;
}
