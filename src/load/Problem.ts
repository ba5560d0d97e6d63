/** A refusal's problem document. */
export interface Problem {
    readonly status: number;
    readonly reason: string;
}
