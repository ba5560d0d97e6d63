import type { Service } from "../../configuration/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamEvent } from "../pools/UpstreamEvent.js";
import { UpstreamState } from "../pools/UpstreamState.js";
import type { BaselineRates } from "./BaselineRates.js";
import { EjectionPolicy } from "./EjectionPolicy.js";
import { getEvidenceRatio } from "./getEvidenceRatio.js";
import { ObservationKind } from "./ObservationKind.js";
import type { OutlierDetectorOptions } from "./OutlierDetectorOptions.js";
import { ProbationResult } from "./ProbationResult.js";
import { RecentCrashes } from "./RecentCrashes.js";
import { UpstreamEjector } from "./UpstreamEjector.js";
import type { UpstreamObservation } from "./UpstreamObservation.js";

/** An upstream is suspected from this evidence on, relative to the ejection threshold. */
const SUSPECT_RATIO = 0.5;
/** It is healthy again below this evidence, relative to the ejection threshold. */
const CLEAR_RATIO = 0.25;
/** A ramp ends after this time at the latest, in milliseconds. */
const MAX_RAMP_MS = 60_000;
/** A failure within this time, in milliseconds, is fast: a lookup (idempotent request) can be retried with little delay. */
const MAX_FAST_FAILURE_MS = 100;

/** Detects failing and slow upstreams of a pool from the results of its requests; ejects, tests and restores them. */
export class OutlierDetector {
    readonly #options: OutlierDetectorOptions;
    readonly #crashes: RecentCrashes;
    readonly #ejector: UpstreamEjector;
    #service: Service;

    /**
     * @param service - The service as configured.
     * @param options - The detector's dependencies.
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
     * Records the result of an attempt and applies the evidence that it adds.
     * @param upstream - The upstream.
     * @param observation - The result.
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
     * Removes the evidence of a crash that a quarantined request caused, and restores the upstream if it was ejected for it.
     * @param requestId - The quarantined request.
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
            this.#ejector.restore(upstream, "a quarantined request caused its crash");
        }
    }

    /**
     * Starts a trial of an ejected upstream, open to orders too, if the pool needs the capacity.
     * @param isUnservedRateHigh - Whether too many requests of the service go unserved, so that as many upstreams as the floor requires should be in use.
     * @param isShortOfSlots - Whether no slot is free.
     */
    startTrialIfNeeded(isUnservedRateHigh: boolean, isShortOfSlots: boolean): void {
        this.#ejector.startLastResortTrial();
        if (isUnservedRateHigh) {
            this.#ejector.startFloorTrial();
        }
        else {
            this.#ejector.startEarlyTrial(isShortOfSlots);
        }
    }

    /**
     * Ejects an upstream whose responses are overdue, or withholds the ejection.
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
                upstream.send(UpstreamEvent.Restart, "it accepts connections again after refusing them");
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
            (observation.latencyMs ?? Infinity) <= MAX_FAST_FAILURE_MS;
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
        const isCounted = upstream.isInService() && upstream.getState() !== UpstreamState.Ramping;
        if (isCounted && this.#findSlowness(observation, baseline) === true) {
            upstream.statistics.recordLatency(latencyMs, true);
            upstream.detector.recordLatency(true, baseline);
        }
    }

    #recordTrial(upstream: PooledUpstream, isFailure: boolean, isSlow: boolean, detail: string): void {
        const result = upstream.probation.record(isFailure, isSlow);
        switch (result) {
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
        const ratio = getEvidenceRatio(upstream);
        if (ratio >= 1) {
            this.#ejector.ejectOrWithhold(upstream, detail);
        }
        else if (ratio >= SUSPECT_RATIO) {
            upstream.send(UpstreamEvent.Suspect, detail);
        }
        else if (ratio < CLEAR_RATIO) {
            upstream.send(UpstreamEvent.Clear, "its evidence of failures and slowness is low");
        }
    }

    /** Whether an answer is slow relative to the usual latency; undefined if the delay is too small to matter to a caller. */
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
