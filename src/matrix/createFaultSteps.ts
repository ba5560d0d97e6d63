import { UnexpectedVariantError } from "../errors/index.js";
import type { ScenarioStep } from "../scenario/index.js";
import { StepKind } from "../scenario/index.js";
import { MatrixFault } from "./MatrixFault.js";

const FAULT_DURATION_MS = 4000;
const ALL_HOSTS = [0, 1, 2, 3, 4, 5] as const;
const OTHER_HOST = 1;
const CONCURRENT_CHANGE_HOST = 3;

/**
 * Creates the steps that start a fault and end it.
 * @param fault - The fault.
 * @param protocolHost - The host that the protocol runs on.
 * @param at - Start of the fault, in milliseconds.
 */
export function createFaultSteps(fault: MatrixFault, protocolHost: number, at: number): ScenarioStep[] {
    const end = at + FAULT_DURATION_MS;
    const others = ALL_HOSTS.filter(host => host !== protocolHost);
    switch (fault) {
        case MatrixFault.Kill:
            return createKill(protocolHost, at, end);
        case MatrixFault.KillOther:
            return createKill(OTHER_HOST, at, end);
        case MatrixFault.Freeze:
            return createFreeze(protocolHost, at, end);
        case MatrixFault.FreezeOther:
            return createFreeze(OTHER_HOST, at, end);
        case MatrixFault.DropOutgoing:
            return [{ at, do: StepKind.Cut, from: [protocolHost], to: others }, { at: end, do: StepKind.Heal }];
        case MatrixFault.DropIncoming:
            return [{ at, do: StepKind.Cut, from: others, to: [protocolHost] }, { at: end, do: StepKind.Heal }];
        case MatrixFault.Isolate:
            return [
                { at, do: StepKind.Cut, from: [protocolHost], to: others, store: true },
                { at, do: StepKind.Cut, from: others, to: [protocolHost] },
                { at: end, do: StepKind.Heal },
            ];
        case MatrixFault.StoreUnavailable:
            return [{ at, do: StepKind.Store, isAway: true }, { at: end, do: StepKind.Store, isAway: false }];
        case MatrixFault.StoreResponsesLost:
            return [{ at, do: StepKind.Answers, areLost: true }, { at: end, do: StepKind.Answers, areLost: false }];
        case MatrixFault.UpstreamErrors:
            return createUpstreamFault("errorRate", at, end);
        case MatrixFault.UpstreamUnresponsive:
            return createUpstreamFault("hangRate", at, end);
        case MatrixFault.UpstreamResponsesLost:
            return createUpstreamFault("lossRate", at, end);
        case MatrixFault.UpstreamResponsesTruncated:
            return createUpstreamFault("cutRate", at, end);
        case MatrixFault.ConcurrentChange:
            return [{ at, do: StepKind.Apply, host: CONCURRENT_CHANGE_HOST, account: "shop-3", rate: 30, burst: 30 }];
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
