import * as fc from "fast-check";
import { UpstreamFaultMode } from "../../support/UpstreamFaultMode.js";
import { LinkKind } from "./LinkKind.js";
import { LinkMode } from "./LinkMode.js";
import type { SoakFault } from "./SoakFault.js";
import { SoakFaultKind } from "./SoakFaultKind.js";

/** Steps of a press: more than the window of the rate limit. */
const PRESS_STEPS = { min: 24, max: 40 };
const PRESSING_CALLERS = { min: 12, max: 24 };
const MAX_PRESSES = 2;
const HOST_FAULTS = [SoakFaultKind.Terminate, SoakFaultKind.Terminate, SoakFaultKind.Kill] as const;
const MAX_HOST_FAULTS = 4;
const MAX_CUTS = 3;
/** Steps of a cut, some of them longer than hosts take to notice it. */
const CUT_STEPS = { min: 4, max: 32 };
const REFUSING_STEPS = { min: 8, max: 40 };
const REFUSING_MODES = [
    UpstreamFaultMode.Shedding,
    UpstreamFaultMode.SheddingWithoutEnd,
    UpstreamFaultMode.Failing,
] as const;
const MAX_TARGET = 255;

/**
 * Creates random pressure: an account that asks for several times its rate, hosts that restart or are cut off meanwhile, and services whose
 * upstreams refuse or fail.
 * @param steps - Number of steps in which they begin.
 */
export function createPressureArbitrary(steps: number): fc.Arbitrary<readonly SoakFault[]> {
    const step = fc.integer({ min: 0, max: steps - 1 });
    const target = fc.nat(MAX_TARGET);
    const press = fc.record({
        kind: fc.constant(SoakFaultKind.Press as const),
        step,
        steps: fc.integer(PRESS_STEPS),
        callers: fc.integer(PRESSING_CALLERS),
    });
    const hostFault = fc.record({
        kind: fc.constantFrom(...HOST_FAULTS),
        step,
        steps: fc.integer({ min: 1, max: 8 }),
        host: target,
    });
    const cut = fc.record({
        kind: fc.constant(SoakFaultKind.Link as const),
        step,
        steps: fc.integer(CUT_STEPS),
        link: fc.constant(LinkKind.Hosts),
        target,
        mode: fc.constantFrom(...Object.values(LinkMode).filter(mode => mode !== LinkMode.Open)),
    });
    const refusing = fc.record({
        kind: fc.constant(SoakFaultKind.Service as const),
        step,
        steps: fc.integer(REFUSING_STEPS),
        service: target,
        mode: fc.constantFrom(...REFUSING_MODES),
        percent: fc.integer({ min: 30, max: 100 }),
    });
    const change = fc.record({ kind: fc.constant(SoakFaultKind.ChangeKeys as const), step, steps: fc.constant(1) });
    return fc.tuple(
        fc.array(press, { minLength: 1, maxLength: MAX_PRESSES, size: "max" }),
        fc.array(hostFault, { maxLength: MAX_HOST_FAULTS, size: "max" }),
        fc.array(cut, { maxLength: MAX_CUTS, size: "max" }),
        fc.array(refusing, { minLength: 1, maxLength: 2, size: "max" }),
        fc.array(change, { minLength: 1, maxLength: 2, size: "max" }),
    ).map(lists => lists.flat().sort((left, right) => left.step - right.step));
}
