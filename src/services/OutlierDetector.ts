import type { Service } from "../configuration/index.js";
import type { BaselineRates } from "./BaselineRates.js";
import { EjectionPolicy } from "./EjectionPolicy.js";
import { getEvidenceRatio } from "./getEvidenceRatio.js";
import { ObservationKind } from "./ObservationKind.js";
import type { OutlierDetectorOptions } from "./OutlierDetectorOptions.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import { ProbationResult } from "./ProbationResult.js";
import { RecentCrashes } from "./RecentCrashes.js";
import { UpstreamEjector } from "./UpstreamEjector.js";
import { UpstreamEvent } from "./UpstreamEvent.js";
import type { UpstreamObservation } from "./UpstreamObservation.js";
import { UpstreamState } from "./UpstreamState.js";

const SUSPECT_SHARE = 0.5;
const CLEAR_SHARE = 0.25;
const MAX_RAMP_MS = 60_000;
/** A failure that comes within this time costs a lookup no more than that before it is sent again, in milliseconds. */
const MAX_LOST_TIME_MS = 100;

/** Judges the upstreams of a pool by the outcomes of real work: ejects, tries and restores them. */
export class OutlierDetector {
    readonly #options: OutlierDetectorOptions;
    readonly #crashes: RecentCrashes;
    readonly #ejector: UpstreamEjector;
    #service: Service;

    /**
     * @param service - The service as configured.
     * @param options - What the judge is made of.
     */
    constructor(service: Service, options: OutlierDetectorOptions) {
        this.#service = service;
        this.#options = options;
        this.#crashes = new RecentCrashes(options.clock);
        this.#ejector = new UpstreamEjector(service, options);
    }

    /**
     * Applies a change of the configuration.
     * @param service - The service as configured now.
     * @param upstreams - The upstreams of this part.
     */
    apply(service: Service, upstreams: readonly PooledUpstream[]): void {
        this.#service = service;
        this.#ejector.apply(service, upstreams);
    }

    /**
     * Records what an attempt has shown.
     * @param upstream - The upstream.
     * @param observation - What was seen.
     */
    record(upstream: PooledUpstream, observation: UpstreamObservation): void {
        const baseline = this.#options.baseline.getRates(upstream);
        switch (observation.kind) {
            case ObservationKind.Success:
                this.#recordSuccess(upstream, observation, baseline);
                break;
            case ObservationKind.Failure:
            case ObservationKind.Lost:
            case ObservationKind.ConnectFailed:
                this.#recordFailure(upstream, observation, baseline);
                break;
            case ObservationKind.Cancelled:
                this.#recordCancelled(upstream, observation, baseline);
                break;
            case ObservationKind.Shed:
                break;
        }
        this.#applyEvidence(upstream, observation.detail);
    }

    /**
     * Removes the evidence of a crash that a quarantined request has caused.
     * @param requestId - The request that was running.
     */
    removeCrash(requestId: string): void {
        const crash = this.#crashes.find(requestId);
        if (crash === undefined) {
            return;
        }
        const { upstream } = crash;
        upstream.detector.remove(crash.evidence);
        crash.evidence = 0;
        if (upstream.getState() === UpstreamState.Ejected && getEvidenceRatio(upstream) < 1) {
            this.#ejector.restore(upstream, "a quarantined request had crashed it");
        }
    }

    /**
     * Lets orders try a resting upstream where that may help.
     * @param isStrained - Whether the service serves too little, so that the floor's share should be in use.
     * @param isShort - Whether requests wait for a slot.
     */
    startTrialIfNeeded(isStrained: boolean, isShort: boolean): void {
        this.#ejector.startLastResortTrial();
        if (isStrained) {
            this.#ejector.startFloorTrial();
        }
        else {
            this.#ejector.startEarlyTrial(isShort);
        }
    }

    /**
     * Takes an upstream out of work whose answers stay out.
     * @param upstream - The upstream.
     */
    ejectSilent(upstream: PooledUpstream): void {
        upstream.isSilent = true;
        upstream.isFailingFast = false;
        const reason = `silent: ${upstream.getRunning()} requests wait for an answer`;
        if (upstream.getState() === UpstreamState.Probation) {
            this.#ejector.eject(upstream, reason);
        }
        else if (upstream.isInService()) {
            this.#ejector.ejectOrWithhold(upstream, reason);
        }
    }

    /** Stops the timers of ejected upstreams. */
    stop(): void {
        this.#ejector.stop();
    }

    #recordSuccess(upstream: PooledUpstream, observation: UpstreamObservation, baseline: BaselineRates): void {
        const latencyMs = observation.latencyMs ?? 0;
        const slowness = this.#findSlowness(observation, baseline);
        const isSlow = slowness === true;
        upstream.statistics.recordOutcome(false);
        upstream.statistics.recordLatency(latencyMs, isSlow);
        if (upstream.isConnectFailing) {
            upstream.isConnectFailing = false;
            if (!this.#isBaseline()) {
                upstream.send(UpstreamEvent.Restart, "it had refused connections and answers again");
            }
        }
        switch (upstream.getState()) {
            case UpstreamState.Healthy:
            case UpstreamState.Suspected:
            case UpstreamState.EjectionWithheld:
                upstream.detector.recordOutcome(false, baseline);
                if (slowness !== undefined) {
                    upstream.detector.recordLatency(slowness, baseline);
                }
                break;
            case UpstreamState.Ramping:
                upstream.detector.recordOutcome(false, baseline);
                this.#recordRamp(upstream, isSlow);
                break;
            case UpstreamState.Probation:
                this.#recordTrial(upstream, false, isSlow, observation.detail);
                break;
            case UpstreamState.Ejected:
            case UpstreamState.Draining:
                break;
        }
    }

    #recordFailure(upstream: PooledUpstream, observation: UpstreamObservation, baseline: BaselineRates): void {
        const isTrial = upstream.getState() === UpstreamState.Probation;
        if (!isTrial || !this.#isPrompt()) {
            upstream.statistics.recordOutcome(true);
        }
        upstream.isConnectFailing = observation.kind === ObservationKind.ConnectFailed;
        upstream.isFailingFast = observation.isAnswered === true ||
            (observation.latencyMs ?? Infinity) <= MAX_LOST_TIME_MS;
        if (isTrial) {
            this.#recordTrial(upstream, true, false, observation.detail);
            return;
        }
        if (!upstream.isInService()) {
            return;
        }
        if (observation.kind !== ObservationKind.Lost) {
            upstream.detector.recordOutcome(true, baseline);
            return;
        }
        const crash = this.#crashes.add(observation.requestId, upstream);
        if (crash !== undefined) {
            crash.evidence = upstream.detector.recordOutcome(true, baseline);
        }
    }

    #recordCancelled(upstream: PooledUpstream, observation: UpstreamObservation, baseline: BaselineRates): void {
        const latencyMs = observation.latencyMs ?? 0;
        const isJudged = upstream.isInService() && upstream.getState() !== UpstreamState.Ramping;
        if (isJudged && this.#findSlowness(observation, baseline) === true) {
            upstream.statistics.recordLatency(latencyMs, true);
            upstream.detector.recordLatency(true, baseline);
        }
    }

    #recordTrial(upstream: PooledUpstream, isFailure: boolean, isSlow: boolean, detail: string): void {
        const verdict = upstream.probation.record(isFailure, isSlow);
        switch (verdict) {
            case ProbationResult.Pending:
                break;
            case ProbationResult.Passed:
                this.#ejector.restore(upstream, "its trial lookups passed");
                break;
            case ProbationResult.Failed:
                upstream.hasFailedTrial = true;
                this.#ejector.eject(upstream, `a trial failed: ${detail}`);
                break;
        }
    }

    #recordRamp(upstream: PooledUpstream, isSlow: boolean): void {
        const isFull = !isSlow && upstream.recordRampAnswer();
        if (isFull || upstream.getStateAge() >= MAX_RAMP_MS) {
            upstream.send(UpstreamEvent.EndRamp, "its ramp has ended");
            this.#ejector.ejectWithheld();
        }
        this.#options.onCapacityChange();
    }

    #applyEvidence(upstream: PooledUpstream, detail: string): void {
        if (!upstream.isInService()) {
            return;
        }
        const share = getEvidenceRatio(upstream);
        if (share >= 1) {
            this.#ejector.ejectOrWithhold(upstream, detail);
        }
        else if (share >= SUSPECT_SHARE) {
            upstream.send(UpstreamEvent.Suspect, detail);
        }
        else if (share < CLEAR_SHARE) {
            upstream.send(UpstreamEvent.Clear, "its answers are as its siblings'");
        }
    }

    /** Whether an answer is slow against the usual ones; undefined if it is, but by too little to matter to a caller. */
    #findSlowness({ latencyMs, usualMs }: UpstreamObservation, baseline: BaselineRates): boolean | undefined {
        const { slowFactor, minSlowMs } = this.#service.detection;
        const medianMs = usualMs ?? baseline.medianMs;
        if (medianMs === undefined || (latencyMs ?? 0) <= slowFactor * medianMs) {
            return false;
        }
        return (latencyMs ?? 0) >= (minSlowMs ?? 0) ? true : undefined;
    }

    #isBaseline(): boolean {
        return this.#options.policy === EjectionPolicy.Baseline;
    }

    #isPrompt(): boolean {
        return this.#options.policy === EjectionPolicy.Prompt;
    }
}
