import type { Head, MembershipView } from "../head/index.js";
import { createViewDelta } from "./createViewDelta.js";
import type { HeadDelta } from "./HeadDelta.js";
import type { HeadRequest } from "./HeadRequest.js";
import type { ViewDelta } from "./ViewDelta.js";

/**
 * Creates the difference between a head and the one that a requesting host has.
 * @param head - The head.
 * @param request - Gives the head version and the views that the requesting host has.
 * @param findView - Finds an older view by its version.
 */
export function createHeadDelta(
    head: Head,
    request: HeadRequest,
    findView: (version: number) => MembershipView | undefined,
): HeadDelta {
    const { view, nextView, ...rest } = head;
    const hasAllChanges = request.knownVersion > 0 && (head.changes[0]?.version ?? Infinity) <= request.knownVersion;
    const base = hasAllChanges ? request.knownVersion : 0;
    const sections = Object.entries(head.sections).filter(([, section]) => section.version > base);
    const removed = Object.entries(head.removedSections ?? {}).filter(([, version]) => version > base);
    const createDelta = (target: MembershipView): ViewDelta => {
        const versions = [...request.knownViews].sort((left, right) => right - left);
        const isTargetKnown = versions.includes(target.version);
        const baseViews = isTargetKnown ? [target] : versions.map(findView).filter(known => known !== undefined);
        return createViewDelta(target, baseViews[0]);
    };
    return {
        base,
        rest: {
            ...rest,
            sections: Object.fromEntries(sections),
            changes: head.changes.filter(change => change.version > base),
        },
        removed: removed.map(([name]) => name),
        view: createDelta(view),
        nextView: nextView && createDelta(nextView),
    };
}
