import { UnexpectedVariantError } from "../errors/index.js";
import type { ScenarioStep } from "../scenario/index.js";
import { StepKind } from "../scenario/index.js";
import { MatrixFault } from "./MatrixFault.js";

const FAULT_MS = 4000;
const ALL_HOSTS = [0, 1, 2, 3, 4, 5] as const;
const OTHER = 1;
const RACING_HOST = 3;

/**
 * Creates the steps that cause a fault and cure it.
 * @param fault - The fault.
 * @param actor - The host that the protocol runs on.
 * @param at - When the fault begins, in milliseconds.
 */
export function createFaultSteps(fault: MatrixFault, actor: number, at: number): ScenarioStep[] {
    const end = at + FAULT_MS;
    const others = ALL_HOSTS.filter(host => host !== actor);
    switch (fault) {
        case MatrixFault.Kill:
            return createKill(actor, at, end);
        case MatrixFault.KillOther:
            return createKill(OTHER, at, end);
        case MatrixFault.Freeze:
            return createFreeze(actor, at, end);
        case MatrixFault.FreezeOther:
            return createFreeze(OTHER, at, end);
        case MatrixFault.CutOut:
            return [{ at, do: StepKind.Cut, from: [actor], to: others }, { at: end, do: StepKind.Heal }];
        case MatrixFault.CutIn:
            return [{ at, do: StepKind.Cut, from: others, to: [actor] }, { at: end, do: StepKind.Heal }];
        case MatrixFault.Isolate:
            return [
                { at, do: StepKind.Cut, from: [actor], to: others, store: true },
                { at, do: StepKind.Cut, from: others, to: [actor] },
                { at: end, do: StepKind.Heal },
            ];
        case MatrixFault.StoreAway:
            return [{ at, do: StepKind.Store, isAway: true }, { at: end, do: StepKind.Store, isAway: false }];
        case MatrixFault.StoreAnswersLost:
            return [{ at, do: StepKind.Answers, areLost: true }, { at: end, do: StepKind.Answers, areLost: false }];
        case MatrixFault.UpstreamErrors:
            return createUpstreamFault("errorRate", at, end);
        case MatrixFault.UpstreamSilent:
            return createUpstreamFault("hangRate", at, end);
        case MatrixFault.UpstreamAnswersLost:
            return createUpstreamFault("lossRate", at, end);
        case MatrixFault.UpstreamAnswersCut:
            return createUpstreamFault("cutRate", at, end);
        case MatrixFault.OperatorRace:
            return [{ at, do: StepKind.Apply, host: RACING_HOST, account: "shop-3", rate: 30, burst: 30 }];
        default:
            throw new UnexpectedVariantError(fault);
    }
}

function createKill(host: number, at: number, end: number): ScenarioStep[] {
    return [{ at, do: StepKind.Kill, hosts: [host] }, { at: end, do: StepKind.Start, hosts: [host] }];
}

function createFreeze(host: number, at: number, end: number): ScenarioStep[] {
    return [{ at, do: StepKind.Freeze, hosts: [host] }, { at: end, do: StepKind.Resume, hosts: [host] }];
}

function createUpstreamFault(
    rate: "errorRate" | "hangRate" | "lossRate" | "cutRate",
    at: number,
    end: number,
): ScenarioStep[] {
    return [
        { at, do: StepKind.Upstream, name: "orders-0", faults: { [rate]: 0.5 } },
        { at, do: StepKind.Upstream, name: "catalogue-0", faults: { [rate]: 0.5 } },
        { at: end, do: StepKind.Upstream, name: "orders-0", faults: { [rate]: 0 } },
        { at: end, do: StepKind.Upstream, name: "catalogue-0", faults: { [rate]: 0 } },
    ];
}
