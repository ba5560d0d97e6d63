import { UnexpectedVariantError } from "../errors/index.js";
import type { Deployment } from "./Deployment.js";
import { findLookupService } from "./findLookupService.js";
import type { Scenario } from "./Scenario.js";
import { ScenarioKind } from "./ScenarioKind.js";

const DURATION_MS = 30_000;
const FAULT_AT_MS = 8_000;
const GRAY_ERROR_SHARE = 0.5;
const SLOW_FACTOR = 10;
const FLAPPING_ERROR_SHARE = 0.8;
const FLAP_PERIOD_MS = 4_000;
const CRASH_SHARE = 0.03;
const KILLED_HOST = "entry-2";

/**
 * Creates a measured experiment.
 * @param kind - Which one.
 * @param deployment - The deployment that it runs on.
 */
export function createScenario(kind: ScenarioKind, deployment: Deployment): Scenario {
    const service = findLookupService(deployment);
    const upstream = service.upstreams[0]!.name;
    const createControl = (body: object): object => ({
        kind: "control",
        atMs: FAULT_AT_MS,
        target: service.name,
        body,
    });
    const createChange = (body: object): object => createControl({ upstreams: [upstream], ...body });
    switch (kind) {
        case ScenarioKind.Healthy:
            return create(kind, "no fault", {});
        case ScenarioKind.GrayErrors:
            return create(kind, `${upstream} fails half of its work`, {
                faults: [createChange({ errorShare: GRAY_ERROR_SHARE })],
                faultyUpstreams: [upstream],
                needsEjection: true,
            });
        case ScenarioKind.GraySlowness:
            return create(kind, `${upstream} takes ${SLOW_FACTOR} times as long`, {
                faults: [createChange({ slowFactor: SLOW_FACTOR })],
                faultyUpstreams: [upstream],
                needsEjection: true,
            });
        case ScenarioKind.Flapping:
            return create(kind, `${upstream} fails in every second period of ${FLAP_PERIOD_MS} ms`, {
                faults: [createChange({ errorShare: FLAPPING_ERROR_SHARE, flapPeriodMs: FLAP_PERIOD_MS })],
                faultyUpstreams: [upstream],
                needsEjection: true,
            });
        case ScenarioKind.BusyAccount:
            return create(kind, "the largest account sends five times its rate", {
                hotAccount: findLargestAccount(deployment),
            });
        case ScenarioKind.StoreAway:
            return create(kind, "the store is away", {
                faults: [{ kind: "control", atMs: FAULT_AT_MS, target: "store", body: { isAway: true } }],
            });
        case ScenarioKind.HostKilled:
            return create(kind, `${KILLED_HOST} is killed`, {
                faults: [{ kind: "signal", atMs: FAULT_AT_MS, process: KILLED_HOST, signal: "SIGKILL" }],
            });
        case ScenarioKind.ColdStart:
            return create(kind, `${upstream} crashes and starts cold`, {
                faults: [createChange({ crash: true })],
                faultyUpstreams: [upstream],
            });
        case ScenarioKind.CrashingRequest:
            return create(kind, "a small account's requests crash the upstreams that run them", {
                crashShare: CRASH_SHARE,
            });
        default:
            throw new UnexpectedVariantError(kind);
    }
}

function create(kind: ScenarioKind, description: string, changes: Partial<Scenario>): Scenario {
    return {
        kind,
        description,
        durationMs: DURATION_MS,
        faultAtMs: FAULT_AT_MS,
        faults: [],
        faultyUpstreams: [],
        needsEjection: false,
        hotAccount: undefined,
        crashShare: 0,
        ...changes,
    };
}

function findLargestAccount(deployment: Deployment): string {
    const accounts = Object.values(deployment.document.sections).flatMap(section => section.accounts ?? []);
    return accounts.reduce((largest, account) => account.rate > largest.rate ? account : largest).name;
}
