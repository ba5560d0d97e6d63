/** The order of a head's members in an encoded list of ages. */
export interface MemberLayout {
    /** Identifies the layout; equal for equal views. */
    readonly key: string;
    readonly memberIds: readonly string[];
}
