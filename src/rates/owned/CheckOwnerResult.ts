/** The answer to a check of an owner. */
export interface CheckOwnerResult {
    /** The ids of the hosts that have asked the answering one recently. */
    readonly heard: readonly string[];
}
