import { ServiceBench } from "../fakes/index.js";
import type { FakeUpstreamFaults } from "../fakes/index.js";
import { Decision } from "../logging/index.js";
import type { EjectionPolicy } from "../services/index.js";
import type { DetectionFigures } from "./DetectionFigures.js";
import type { MeasuredService } from "./MeasuredService.js";

const WARM_UP_MS = 60_000;
const FAULTY_UPSTREAM = "u1";
const HEALTHY_ERROR_RATE = 0.01;
const HEALTHY_TAIL_RATE = 0.01;
const SERVICE_TIME_MS = 20;

/**
 * Measures one run in virtual time: a healthy minute, then a fault of one upstream.
 * @param deployment - The service.
 * @param policy - How upstreams are chosen and judged.
 * @param seed - Fixes the run.
 * @param faults - What goes wrong; undefined for a healthy run.
 * @param durationMs - How long the fault, or the healthy run, lasts, in milliseconds.
 */
export async function measureDetection(
    deployment: MeasuredService,
    policy: EjectionPolicy,
    seed: number,
    faults: FakeUpstreamFaults | undefined,
    durationMs: number,
): Promise<DetectionFigures> {
    const { upstreams, slots, floor, queuePerSlot, detection, rate } = deployment;
    const bench = new ServiceBench({
        seed,
        policy,
        upstreams,
        slots,
        service: { floor, queuePerSlot },
        detection,
        fakes: { serviceTimeMs: SERVICE_TIME_MS, healthyErrorRate: HEALTHY_ERROR_RATE, tailRate: HEALTHY_TAIL_RATE },
    });
    bench.upstreams.isRecording = false;
    await bench.runLoad(rate, WARM_UP_MS);
    const start = bench.clock.getWallTime();
    bench.upstreams.applyFaults(FAULTY_UPSTREAM, faults ?? {});
    await bench.runLoad(rate, durationMs);
    const ejections = bench.decisions.find({}).filter(record => record.decision === Decision.Ejected);
    const isTrue = (upstream: string | undefined, time: number): boolean =>
        faults !== undefined && upstream === FAULTY_UPSTREAM && time >= start;
    const found = ejections.find(ejection => isTrue(ejection.upstream, ejection.time));
    return {
        detectionMs: found === undefined ? undefined : found.time - start,
        falseEjections: ejections.filter(ejection => !isTrue(ejection.upstream, ejection.time)).length,
    };
}
