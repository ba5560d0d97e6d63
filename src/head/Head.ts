import type { HeadChange } from "./HeadChange.js";
import type { MembershipView } from "./MembershipView.js";
import type { SectionReference } from "./SectionReference.js";

/** The one record that orders all changes: of the configuration and of the membership view. */
export interface Head {
    /** Rises by 1 with every change. */
    readonly version: number;
    readonly sections: Readonly<Record<string, SectionReference>>;
    /** The view in force. */
    readonly view: MembershipView;
    /** The proposed view, until a majority of the view in force has installed the head that proposes it. */
    readonly nextView?: MembershipView;
    /** The newest changes without a gap, oldest first. */
    readonly changes: readonly HeadChange[];
    /** The store key of the newest audit record, which names the one before it. */
    readonly lastAuditKey?: string;
    /** The versions that removed sections, kept as long as the change list reaches back to them. */
    readonly removedSections?: Readonly<Record<string, number>>;
    /**
     * Chunks that no section refers to any more, with the versions that retired them. Later changes remove them from the
     * store; until a chunk has left this list nothing may refer to it.
     */
    readonly retiredChunks?: Readonly<Record<string, number>>;
}
