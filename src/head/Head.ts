import type { HeadChange } from "./HeadChange.js";
import type { MembershipView } from "./MembershipView.js";
import type { SectionReference } from "./SectionReference.js";

/** The record in the key-value store that orders all changes of the configuration and the membership view. */
export interface Head {
    /** Increases by 1 with every change. */
    readonly version: number;
    readonly sections: Readonly<Record<string, SectionReference>>;
    /** The active view. */
    readonly view: MembershipView;
    /** The proposed view, until a majority of the active view has installed the head that proposes it. */
    readonly nextView?: MembershipView;
    /** The newest changes, oldest first and without gaps. */
    readonly changes: readonly HeadChange[];
    /** The store key of the newest audit record, which refers to the previous one. */
    readonly lastAuditKey?: string;
    /** The versions in which sections were removed, kept while the change list reaches back to them. */
    readonly removedSections?: Readonly<Record<string, number>>;
    /**
     * Chunks that no section refers to any more, with the versions that retired them. Later changes remove them from
     * the store. Nothing may refer to a chunk while it is in this list.
     */
    readonly retiredChunks?: Readonly<Record<string, number>>;
}
