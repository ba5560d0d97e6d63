import type { Head, MembershipView } from "../head/index.js";
import { createViewDelta } from "./createViewDelta.js";
import type { HeadDelta } from "./HeadDelta.js";
import type { HeadRequest } from "./HeadRequest.js";
import type { ViewDelta } from "./ViewDelta.js";

/**
 * Creates the difference of a head to the one that a host has.
 * @param head - The head.
 * @param request - Names the head that the host has.
 * @param findView - Finds an older view by its version.
 */
export function createHeadDelta(
    head: Head,
    request: HeadRequest,
    findView: (version: number) => MembershipView | undefined,
): HeadDelta {
    const { view, nextView, ...rest } = head;
    const isReached = request.knownVersion > 0 && (head.changes[0]?.version ?? Infinity) <= request.knownVersion;
    const base = isReached ? request.knownVersion : 0;
    const sections = Object.entries(head.sections).filter(([, section]) => section.version > base);
    const removed = Object.entries(head.removedSections ?? {}).filter(([, version]) => version > base);
    const findDelta = (target: MembershipView): ViewDelta => {
        const versions = [...request.knownViews].sort((left, right) => right - left);
        const isTarget = versions.includes(target.version);
        const bases = isTarget ? [target] : versions.map(findView).filter(known => known !== undefined);
        return createViewDelta(target, bases[0]);
    };
    return {
        base,
        rest: {
            ...rest,
            sections: Object.fromEntries(sections),
            changes: head.changes.filter(change => change.version > base),
        },
        removed: removed.map(([name]) => name),
        view: findDelta(view),
        nextView: nextView && findDelta(nextView),
    };
}
