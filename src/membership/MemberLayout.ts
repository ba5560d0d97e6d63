/** The order in which a head's members stand in a vector of ages. */
export interface MemberLayout {
    /** Names the order; equal for equal views. */
    readonly key: string;
    readonly memberIds: readonly string[];
}
