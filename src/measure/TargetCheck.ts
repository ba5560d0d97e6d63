/** Whether a target was met. */
export interface TargetCheck {
    readonly target: string;
    readonly figure: string;
    readonly isMet: boolean;
}
