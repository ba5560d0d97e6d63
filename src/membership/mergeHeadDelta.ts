import type { Head, MembershipView, SectionReference } from "../head/index.js";
import type { HeadDelta } from "./HeadDelta.js";
import { mergeViewDelta } from "./mergeViewDelta.js";

const KEPT_CHANGES = 200;

/**
 * Merges a difference into the head that it starts from; returns undefined if that is not the known one.
 * @param delta - The difference.
 * @param known - The head that this host has.
 */
export function mergeHeadDelta(delta: HeadDelta, known: Head | undefined): Head | undefined {
    const views = known === undefined ? [] : [known.view, known.nextView].filter(view => view !== undefined);
    const findView = (version: number): MembershipView | undefined => views.find(view => view.version === version);
    const bases = [delta.view.base, delta.nextView?.base ?? 0].filter(base => base > 0);
    const isKnown = delta.base === 0 || delta.base === known?.version;
    if (!isKnown || bases.some(base => findView(base) === undefined)) {
        return undefined;
    }
    const older = delta.base === 0 ? undefined : known;
    const nextView = delta.nextView && mergeViewDelta(delta.nextView, findView(delta.nextView.base));
    return {
        ...delta.rest,
        sections: mergeSections(delta, older),
        changes: [...older?.changes ?? [], ...delta.rest.changes].slice(-KEPT_CHANGES),
        view: mergeViewDelta(delta.view, findView(delta.view.base)),
        ...(nextView && { nextView }),
    };
}

function mergeSections(delta: HeadDelta, older: Head | undefined): Record<string, SectionReference> {
    const sections = { ...older?.sections };
    for (const name of delta.removed) {
        delete sections[name];
    }
    return { ...sections, ...delta.rest.sections };
}
