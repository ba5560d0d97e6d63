import { setTimeout as wait } from "node:timers/promises";
import { DelayMeter } from "./faults/DelayMeter.js";
import { FaultRunner } from "./faults/FaultRunner.js";
import { SoakFleet } from "./faults/SoakFleet.js";
import { SoakLoad } from "./load/SoakLoad.js";
import type { SoakPlan } from "./plan/SoakPlan.js";
import { checkPromises } from "./promises/checkPromises.js";
import type { Finding } from "./promises/Finding.js";
import type { PromiseBounds } from "./promises/PromiseBounds.js";
import type { SoakArrival } from "./promises/SoakArrival.js";
import type { SoakEvidence } from "./promises/SoakEvidence.js";
import type { SoakRun } from "./promises/SoakRun.js";
import type { SoakResult } from "./SoakResult.js";

/** How long a host is out of touch after a disturbance, in milliseconds, if no promise with a time is checked. */
const DEFAULT_CONTACT_MS = 3_000;
/** Load in calm before the first fault, in milliseconds. */
const CALM_MS = 1_500;
/** Load after the last fault, so that changes and what was held back arrive, in milliseconds. */
const END_MS = 4_000;
const RECOVERY_POLL_MS = 250;
/** How long recovery is waited for, in milliseconds, if no promise with a time is checked. */
const RECOVERY_TIMEOUT_MS = 60_000;
const SERVED_PREFIXES = ["/lookup/", "/order/", "/books/"] as const;
const KEY = "key-fixed";

/**
 * Runs a plan and checks the promises.
 * @param plan - The plan.
 * @param bounds - The bounds of promises with a time; undefined leaves those out.
 * @param reportStage - Receives what the run does next.
 */
export async function runSoak(
    plan: SoakPlan,
    bounds: PromiseBounds | undefined,
    reportStage: (stage: string) => void = () => {},
): Promise<SoakResult> {
    const fleet = new SoakFleet(plan, bounds?.contactMs ?? DEFAULT_CONTACT_MS);
    const load = new SoakLoad(fleet, plan);
    const meter = new DelayMeter(fleet.disturbances);
    const closeNow = (): void => fleet.closeNow();
    process.once("exit", closeNow);
    try {
        reportStage("start");
        await fleet.start();
        meter.start();
        load.start();
        await wait(CALM_MS);
        reportStage("faults");
        await new FaultRunner(fleet, plan, load).run();
        reportStage("recovery");
        const recovery = await checkRecovery(fleet, load, bounds?.recoveryMs ?? RECOVERY_TIMEOUT_MS);
        await wait(END_MS);
        reportStage("end of the load");
        await load.stop();
        const runs = getRuns(fleet);
        const calls = new Map(load.calls.map(call => [call.id, call]));
        const logs = new Map(fleet.hosts.map(host => [host.id, host.process.getLog()]));
        const evidence = createEvidence(fleet, calls, runs, logs);
        const ends = fleet.hosts.flatMap(host => host.ownExits)
            .map(detail => ({ promise: "ENDS", detail, requests: [] }));
        const findings = [...ends, ...recovery, ...checkPromises(evidence, bounds)];
        return { plan, findings, calls, runs, logs, longestDelayMs: Math.round(meter.longestMs) };
    }
    finally {
        meter.stop();
        reportStage("stop of the load");
        await load.stop();
        reportStage("stop of the fleet");
        await fleet.stop();
        process.off("exit", closeNow);
    }
}

/** Checks that each host serves each kind of request again. */
async function checkRecovery(fleet: SoakFleet, load: SoakLoad, limitMs: number): Promise<Finding[]> {
    const end = performance.now() + limitMs;
    const ends = new Set(fleet.hosts.filter(host => host.ownExits.length > 0));
    for (;;) {
        const calls = await Promise.all(
            fleet.hosts.filter(host => !ends.has(host)).flatMap(host =>
                SERVED_PREFIXES.map(prefix => load.send(host, prefix, KEY))
            ),
        );
        const failed = calls.filter(({ response }) => response?.status !== 200);
        if (failed.length === 0) {
            return [];
        }
        if (performance.now() > end) {
            const reasons = new Set(
                failed.map(({ host, path, response, error }) =>
                    `${host} ${path.split("/")[1]} ${response?.status ?? error}`
                ),
            );
            const detail = `${limitMs} ms after the last fault: ${[...reasons].join(", ")}`;
            return [{ promise: "RECOVER", detail, requests: failed.map(({ id }) => id) }];
        }
        await wait(RECOVERY_POLL_MS);
    }
}

function getRuns(fleet: SoakFleet): SoakRun[] {
    return fleet.upstreams.flatMap(place => place.history)
        .flatMap(({ upstream, service }) =>
            upstream.received.map(received => ({ ...received, upstream: upstream.id, service }))
        )
        .sort((left, right) => left.time - right.time);
}

function getArrivals(fleet: SoakFleet): SoakArrival[] {
    return fleet.upstreams.flatMap(place => place.history).flatMap(({ upstream, service }) =>
        [...upstream.received, ...upstream.refused].map(({ id, time }) => ({ id, time, service }))
    );
}

function createEvidence(
    fleet: SoakFleet,
    calls: SoakEvidence["calls"],
    runs: readonly SoakRun[],
    logs: ReadonlyMap<string, string>,
): SoakEvidence {
    const addresses = fleet.upstreams.flatMap(place =>
        place.history.map(({ upstream }) => [upstream.id, place.address] as const)
    );
    return {
        calls,
        runs,
        arrivals: getArrivals(fleet),
        keys: fleet.keys,
        disturbances: fleet.disturbances,
        leavingTimes: fleet.leavingTimes,
        addresses: new Map(addresses),
        // A request that is dispatched once more has a number after its id.
        findHosts: id =>
            [...logs].filter(([, log]) => log.includes(`"${id}"`) || log.includes(`"${id}.`))
                .map(([host]) => host),
    };
}
