import { UnexpectedVariantError } from "../errors/index.js";
import type { Scenario, ScenarioStep } from "../scenario/index.js";
import { StepKind } from "../scenario/index.js";
import { createFaultSteps } from "./createFaultSteps.js";
import type { MatrixCase } from "./MatrixCase.js";
import { MatrixProtocol } from "./MatrixProtocol.js";

const HOST_COUNT = 6;
const JOINING_HOST = 6;
/** The host that a protocol runs on. */
const PROTOCOL_HOST = 2;
const PROTOCOL_AT_MS = 2000;
const LOAD_DURATION_MS = 9000;
const END_MS = 12_000;
const NO_ERRORS = { errorRate: 0 } as const;

/**
 * Creates the scenario of a case: load, the protocol, and the start and end of its faults. The run checks all guarantees.
 * @param matrixCase - The case.
 */
export function createMatrixScenario(matrixCase: MatrixCase): Scenario {
    const { protocol, faults, offsetMs, seed } = matrixCase;
    const faultAt = PROTOCOL_AT_MS + offsetMs;
    return {
        name: `${protocol} with ${faults.join(" and ")} at ${offsetMs} ms`,
        seeds: [seed],
        hosts: HOST_COUNT,
        steps: [
            ...createLoads(protocol),
            ...createProtocolSteps(protocol),
            ...faults.flatMap(fault => createFaultSteps(fault, PROTOCOL_HOST, faultAt)),
            { at: END_MS, do: StepKind.Heal },
        ],
    };
}

function createLoads(protocol: MatrixProtocol): ScenarioStep[] {
    const lookupRate = protocol === MatrixProtocol.BorrowTokens ? 38 : 10;
    const loads = [
        { name: "orders", account: "shop-1", route: "orders", perSecond: 8 },
        { name: "lookups", account: "shop-2", route: "catalogue", perSecond: lookupRate },
        { name: "mixed-orders", account: "shop-3", route: "orders", perSecond: 4 },
    ];
    return loads.map(load => ({ at: 0, do: StepKind.Load, forMs: LOAD_DURATION_MS, ...load }));
}

function createProtocolSteps(protocol: MatrixProtocol): ScenarioStep[] {
    const at = PROTOCOL_AT_MS;
    switch (protocol) {
        case MatrixProtocol.AcceptChange:
            return [{ at, do: StepKind.Apply, host: PROTOCOL_HOST, account: "shop-2", rate: 20, burst: 10 }];
        case MatrixProtocol.WithdrawKey:
            return [{ at, do: StepKind.Withdraw, host: PROTOCOL_HOST, account: "shop-2" }];
        case MatrixProtocol.ChangeView:
            return [{ at, do: StepKind.Start, hosts: [JOINING_HOST] }];
        case MatrixProtocol.Order:
        case MatrixProtocol.BorrowTokens:
            return [];
        case MatrixProtocol.EjectUpstream:
            return [
                { at, do: StepKind.Upstream, name: "orders-0", faults: { errorRate: 0.5 } },
                { at: at + 4000, do: StepKind.Upstream, name: "orders-0", faults: NO_ERRORS },
            ];
        case MatrixProtocol.DrainUpstream:
            return [{ at, do: StepKind.Drain, host: PROTOCOL_HOST, upstream: "orders-1" }];
        case MatrixProtocol.PlannedStop:
            return [{ at, do: StepKind.Stop, hosts: [PROTOCOL_HOST] }];
        default:
            throw new UnexpectedVariantError(protocol);
    }
}
