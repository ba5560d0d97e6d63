import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Head, MembershipView } from "../../src/head/index.js";
import { createHeadDelta } from "../../src/membership/createHeadDelta.js";
import { mergeHeadDelta } from "../../src/membership/mergeHeadDelta.js";
import { mergeViewEdits } from "../../src/membership/mergeViewEdits.js";
import { ViewEditKind } from "../../src/membership/ViewEditKind.js";
import { createMember } from "../support/createMember.js";

const SEED = 1;
const MAX_KEPT_CHANGES = 200;
const EMPTY_HEAD: Head = {
    version: 0,
    sections: {},
    view: { version: 0, members: [] },
    changes: [],
    removedSections: {},
};
const steps = fc.array(fc.record({ kind: fc.integer({ min: 0, max: 4 }), index: fc.integer({ min: 0, max: 5 }) }), {
    minLength: 1,
    maxLength: 30,
});

test("the difference between two heads, applied to the older one, gives the newer one", () => {
    fc.assert(
        fc.property(steps, fc.nat(), fc.nat(), (changes, first, second) => {
            const heads = getHeads(changes);
            const [older, newer] = [first % heads.length, second % heads.length].sort((a, b) => a - b) as [
                number,
                number,
            ];
            const known = heads[older]!;
            const knownViews = [known.view.version, known.nextView?.version ?? 0].filter(version => version > 0);
            const request = { from: "", knownVersion: known.version, knownViews };
            const delta = createHeadDelta(heads[newer]!, request, version => findView(heads, version));
            assert.equal(mergeHeadDelta(JSON.parse(JSON.stringify(delta)), known), heads[newer]);
        }),
        { seed: SEED },
    );
});

test("a difference whose base is not the known head is refused", () => {
    const heads = getHeads([{ kind: 0, index: 1 }, { kind: 2, index: 1 }, { kind: 2, index: 2 }]);
    const request = { from: "", knownVersion: 2, knownViews: [heads[2]!.view.version] };
    const delta = createHeadDelta(heads[3]!, request, version => findView(heads, version));
    assert.is(mergeHeadDelta(delta, heads[0]), undefined);
});

test.run();

function getHeads(changes: readonly { kind: number; index: number; }[]): Head[] {
    const heads: Head[] = [EMPTY_HEAD];
    for (const { kind, index } of changes) {
        const head = heads.at(-1)!;
        const version = head.version + 1;
        const added = [...head.changes, { id: `${version}`, version }].slice(-MAX_KEPT_CHANGES);
        heads.push({ ...createNext(head, kind, index, version), version, changes: added });
    }
    return heads;
}

function createNext(head: Head, kind: number, index: number, version: number): Head {
    const { nextView, ...rest } = head;
    const name = `section-${index}`;
    if (kind === 0 || kind === 1) {
        const member = createMember(index, `${version}`);
        const edit = { kind: kind === 0 ? ViewEditKind.Join : ViewEditKind.Leave, member };
        const known = head.view.members.find(one => one.id === member.id);
        const members = mergeViewEdits(head.view.members, [kind === 0 ? edit : { ...edit, member: known ?? member }]);
        return { ...rest, nextView: { version, members: members ?? head.view.members } };
    }
    if (kind === 2) {
        return { ...head, sections: { ...head.sections, [name]: { owners: [], version, chunks: [`${version}`] } } };
    }
    if (kind === 3) {
        const sections = Object.fromEntries(Object.entries(head.sections).filter(([known]) => known !== name));
        return { ...head, sections, removedSections: { ...head.removedSections, [name]: version } };
    }
    return nextView === undefined ? head : { ...rest, view: nextView };
}

function findView(heads: readonly Head[], version: number): MembershipView | undefined {
    return heads.flatMap(head => [head.view, ...head.nextView ? [head.nextView] : []]).find(view =>
        view.version === version
    );
}
