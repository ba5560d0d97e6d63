import { RouteAccess, RouteKind } from "../configuration/index.js";
import type { Deployment } from "./Deployment.js";
import type { Scenario } from "./Scenario.js";

const LOAD_SHARE_OF_RATE = 0.6;
const OVER_RATE_FACTOR = 5;
const RESEND_SHARE = 0.1;
const ANSWER_TIMEOUT_MS = 5_000;
const KIND_WEIGHTS: Readonly<Record<RouteKind, number>> = {
    [RouteKind.Lookup]: 7,
    [RouteKind.Order]: 2.5,
    [RouteKind.Bulk]: 0.5,
};

/**
 * Creates the content of the experiment file for a scenario: every account sends a fixed share of its rate, over all routes.
 * @param scenario - The scenario.
 * @param deployment - The deployment.
 * @param seed - The seed of the random arrival times.
 */
export function createExperiment(scenario: Scenario, deployment: Deployment, seed: number): object {
    const sections = Object.values(deployment.document.sections);
    const accounts = sections.flatMap(section => section.accounts ?? []);
    const smallest = accounts.at(-1)!.name;
    return {
        name: `${deployment.name} ${scenario.kind}`,
        seed,
        durationMs: scenario.durationMs,
        answerTimeoutMs: ANSWER_TIMEOUT_MS,
        faults: scenario.faults,
        accounts: accounts.map(account => ({
            name: account.name,
            rate: account.rate * LOAD_SHARE_OF_RATE,
            phases: account.name === scenario.hotAccount
                ? [{ atMs: scenario.faultAtMs, factor: OVER_RATE_FACTOR / LOAD_SHARE_OF_RATE }]
                : [],
            mix: createMix(deployment, account.name === smallest ? scenario.crashShare : 0),
        })),
    };
}

function createMix(deployment: Deployment, crashShare: number): object[] {
    const routes = Object.values(deployment.document.sections).flatMap(section => section.routes ?? [])
        .filter(route => route.access === RouteAccess.Accounts && route.accounts === undefined);
    const getWeight = (kind: RouteKind): number =>
        KIND_WEIGHTS[kind] / routes.filter(route => route.kind === kind).length;
    const items = routes.map(route => ({
        kind: route.kind,
        path: createPath(route.kind, route.path),
        weight: getWeight(route.kind),
        resendShare: route.kind === RouteKind.Order ? RESEND_SHARE : 0,
    }));
    const lookup = items.find(item => item.kind === RouteKind.Lookup);
    if (crashShare === 0 || lookup === undefined) {
        return items;
    }
    const total = items.reduce((sum, item) => sum + item.weight, 0);
    return [...items, { ...lookup, weight: total * crashShare, headers: { "x-crash-upstream": "1" } }];
}

function createPath(kind: RouteKind, path: string): string {
    return kind === RouteKind.Bulk ? `${path}/1/large` : kind === RouteKind.Lookup ? `${path}/1` : path;
}
