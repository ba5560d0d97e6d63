import type { Head, MembershipView, SectionReference } from "../head/index.js";
import type { HeadDelta } from "./HeadDelta.js";
import { mergeViewDelta } from "./mergeViewDelta.js";

const MAX_KEPT_CHANGES = 200;

/**
 * Applies a difference to its base head; returns undefined if the base is not the known head.
 * @param delta - The difference.
 * @param known - The head that this host has installed.
 */
export function mergeHeadDelta(delta: HeadDelta, known: Head | undefined): Head | undefined {
    const views = known === undefined ? [] : [known.view, known.nextView].filter(view => view !== undefined);
    const findView = (version: number): MembershipView | undefined => views.find(view => view.version === version);
    const baseVersions = [delta.view.base, delta.nextView?.base ?? 0].filter(base => base > 0);
    const isBaseKnown = delta.base === 0 || delta.base === known?.version;
    if (!isBaseKnown || baseVersions.some(base => findView(base) === undefined)) {
        return undefined;
    }
    const baseHead = delta.base === 0 ? undefined : known;
    const nextView = delta.nextView && mergeViewDelta(delta.nextView, findView(delta.nextView.base));
    return {
        ...delta.rest,
        sections: mergeSections(delta, baseHead),
        changes: [...baseHead?.changes ?? [], ...delta.rest.changes].slice(-MAX_KEPT_CHANGES),
        view: mergeViewDelta(delta.view, findView(delta.view.base)),
        ...(nextView && { nextView }),
    };
}

function mergeSections(delta: HeadDelta, baseHead: Head | undefined): Record<string, SectionReference> {
    const sections = { ...baseHead?.sections };
    for (const name of delta.removed) {
        delete sections[name];
    }
    return { ...sections, ...delta.rest.sections };
}
