/** The result of checking a performance target. */
export interface TargetCheck {
    readonly target: string;
    readonly figure: string;
    readonly isMet: boolean;
}
