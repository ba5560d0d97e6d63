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
 * Creates the scenario of a measured experiment.
 * @param kind - The kind of scenario.
 * @param deployment - The deployment that the scenario runs on.
 */
export function createScenario(kind: ScenarioKind, deployment: Deployment): Scenario {
    const service = findLookupService(deployment);
    const upstream = service.upstreams[0]!.name;
    const createControlFault = (body: object): object => ({
        kind: "control",
        atMs: FAULT_AT_MS,
        target: service.name,
        body,
    });
    const createUpstreamFault = (body: object): object => createControlFault({ upstreams: [upstream], ...body });
    switch (kind) {
        case ScenarioKind.Healthy:
            return createFromDefaults(kind, "no fault", {});
        case ScenarioKind.GrayErrors:
            return createFromDefaults(kind, `${upstream} fails half of its requests`, {
                faults: [createUpstreamFault({ errorShare: GRAY_ERROR_SHARE })],
                faultyUpstreams: [upstream],
                needsEjection: true,
            });
        case ScenarioKind.GraySlowness:
            return createFromDefaults(kind, `${upstream} takes ${SLOW_FACTOR} times as long`, {
                faults: [createUpstreamFault({ slowFactor: SLOW_FACTOR })],
                faultyUpstreams: [upstream],
                needsEjection: true,
            });
        case ScenarioKind.Flapping:
            return createFromDefaults(kind, `${upstream} fails in every second period of ${FLAP_PERIOD_MS} ms`, {
                faults: [createUpstreamFault({ errorShare: FLAPPING_ERROR_SHARE, flapPeriodMs: FLAP_PERIOD_MS })],
                faultyUpstreams: [upstream],
                needsEjection: true,
            });
        case ScenarioKind.AccountOverRate:
            return createFromDefaults(kind, "the largest account sends five times its rate", {
                hotAccount: findLargestAccount(deployment),
            });
        case ScenarioKind.StoreUnavailable:
            return createFromDefaults(kind, "the store is unavailable", {
                faults: [{ kind: "control", atMs: FAULT_AT_MS, target: "store", body: { isAway: true } }],
            });
        case ScenarioKind.HostKilled:
            return createFromDefaults(kind, `${KILLED_HOST} is killed`, {
                faults: [{ kind: "signal", atMs: FAULT_AT_MS, process: KILLED_HOST, signal: "SIGKILL" }],
            });
        case ScenarioKind.ColdStart:
            return createFromDefaults(kind, `${upstream} crashes and starts cold`, {
                faults: [createUpstreamFault({ crash: true })],
                faultyUpstreams: [upstream],
            });
        case ScenarioKind.CrashingRequest:
            return createFromDefaults(kind, "a small account's requests crash the upstreams that run them", {
                crashShare: CRASH_SHARE,
            });
        default:
            throw new UnexpectedVariantError(kind);
    }
}

function createFromDefaults(kind: ScenarioKind, description: string, changes: Partial<Scenario>): Scenario {
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
