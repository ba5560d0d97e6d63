import * as fc from "fast-check";
import { StoreFaultMode } from "../../support/StoreFaultMode.js";
import { UpstreamFaultMode } from "../../support/UpstreamFaultMode.js";
import { LinkKind } from "./LinkKind.js";
import { LinkMode } from "./LinkMode.js";
import type { SoakFault } from "./SoakFault.js";
import { SoakFaultKind } from "./SoakFaultKind.js";

const HOST_FAULTS = [
    SoakFaultKind.Pause,
    SoakFaultKind.Kill,
    SoakFaultKind.Terminate,
    SoakFaultKind.Reload,
] as const;
const STORE_FAULTS = [StoreFaultMode.Unavailable, StoreFaultMode.Silent, StoreFaultMode.LostResponse] as const;
/** In an order that stays, so that a seed names the same plan. */
const UPSTREAM_FAULTS = [
    UpstreamFaultMode.Failing,
    UpstreamFaultMode.Shedding,
    UpstreamFaultMode.Late,
    UpstreamFaultMode.LosingResponses,
] as const;
const MAX_FAULTS = 9;
const MAX_CHANGES = 4;
const MAX_FAULT_STEPS = 16;
const MAX_TARGET = 255;

/**
 * Creates random faults; fast-check makes those of a failing run fewer and shorter.
 * @param steps - Number of steps in which they begin.
 */
export function createFaultsArbitrary(steps: number): fc.Arbitrary<readonly SoakFault[]> {
    const time = { step: fc.integer({ min: 0, max: steps - 1 }), steps: fc.integer({ min: 1, max: MAX_FAULT_STEPS }) };
    const host = fc.nat(MAX_TARGET);
    const upstream = fc.nat(MAX_TARGET);
    const hostFault = fc.record({ ...time, kind: fc.constantFrom(...HOST_FAULTS), host });
    const link = fc.record({
        ...time,
        kind: fc.constant(SoakFaultKind.Link as const),
        link: fc.constantFrom(...Object.values(LinkKind)),
        target: fc.nat(MAX_TARGET),
        mode: fc.constantFrom(...Object.values(LinkMode).filter(mode => mode !== LinkMode.Open)),
    });
    const store = fc.oneof(
        fc.record({
            ...time,
            kind: fc.constant(SoakFaultKind.Store as const),
            mode: fc.constantFrom(...STORE_FAULTS),
        }),
        fc.record({ ...time, kind: fc.constantFrom(SoakFaultKind.ForgetHistory, SoakFaultKind.RestoreStore) }),
    );
    const upstreamFault = fc.record({
        ...time,
        kind: fc.constant(SoakFaultKind.Upstream as const),
        upstream,
        mode: fc.constantFrom(...UPSTREAM_FAULTS),
        percent: fc.integer({ min: 20, max: 100 }),
    });
    const change = fc.oneof(
        fc.record({ ...time, kind: fc.constant(SoakFaultKind.ChangeKeys as const) }),
        fc.record({ ...time, kind: fc.constant(SoakFaultKind.Leave as const), upstream, isReported: fc.boolean() }),
        fc.record({ ...time, kind: fc.constant(SoakFaultKind.Replace as const), upstream }),
    );
    const fault = fc.oneof(
        { arbitrary: hostFault, weight: 4 },
        { arbitrary: link, weight: 4 },
        { arbitrary: store, weight: 2 },
        { arbitrary: upstreamFault, weight: 2 },
    );
    return fc.tuple(
        fc.array(change, { minLength: 1, maxLength: MAX_CHANGES, size: "max" }),
        fc.array(fault, { maxLength: MAX_FAULTS, size: "max" }),
    ).map(([changes, faults]) => [...changes, ...faults].sort((left, right) => left.step - right.step));
}
