/** A check whether another owner of accounts' rates is in touch. */
export interface CheckOwnerParams {
    /** The id of the host that asks. */
    readonly owner: string;
}
