import { UnexpectedVariantError } from "../errors/index.js";
import type { Member } from "../head/index.js";
import { compareMembers } from "./compareMembers.js";
import type { ViewEdit } from "./ViewEdit.js";
import { ViewEditKind } from "./ViewEditKind.js";

/**
 * Applies requested changes to the members of a view; returns them sorted by id, or undefined if nothing changes. A
 * host may take over an entry only on the entry's address, where its predecessor can't be running any more.
 * @param members - The members.
 * @param edits - The requested changes.
 */
export function mergeViewEdits(members: readonly Member[], edits: readonly ViewEdit[]): readonly Member[] | undefined {
    const merged = new Map(members.map(member => [member.id, member]));
    let isChanged = false;
    for (const edit of edits) {
        const known = merged.get(edit.member.id);
        const isPresent = known?.incarnation === edit.member.incarnation;
        switch (edit.kind) {
            case ViewEditKind.Join:
                if (known === undefined || known.peerAddress === edit.member.peerAddress) {
                    merged.set(edit.member.id, edit.member);
                    isChanged ||= !isPresent;
                }
                break;
            case ViewEditKind.Leave:
                isChanged = isPresent && merged.delete(edit.member.id) || isChanged;
                break;
            default:
                throw new UnexpectedVariantError(edit);
        }
    }
    return isChanged ? [...merged.values()].sort(compareMembers) : undefined;
}
