import type { DetectionSettings, Service } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import { BackOff } from "./BackOff.js";
import type { BaselineRates } from "./BaselineRates.js";
import { CrashMemory } from "./CrashMemory.js";
import { EjectionPolicy } from "./EjectionPolicy.js";
import { findEarlyTrial } from "./findEarlyTrial.js";
import { findFloorTrial } from "./findFloorTrial.js";
import { hasCapacityAboveFloor } from "./hasCapacityAboveFloor.js";
import { hasWorkingSiblings } from "./hasWorkingSiblings.js";
import { isBusy } from "./isBusy.js";
import { ObservationKind } from "./ObservationKind.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import { ProbationVerdict } from "./ProbationVerdict.js";
import { UpstreamEvent } from "./UpstreamEvent.js";
import type { UpstreamJudgeOptions } from "./UpstreamJudgeOptions.js";
import type { UpstreamObservation } from "./UpstreamObservation.js";
import { UpstreamState } from "./UpstreamState.js";

const SUSPECT_SHARE = 0.5;
const CLEAR_SHARE = 0.25;
const MAX_RAMP_MS = 60_000;
/** A failure that comes within this time costs a lookup no more than that before it is sent again, in milliseconds. */
const MAX_LOST_TIME_MS = 100;
const FLOOR_NOTE = "; the floor forbids its ejection";

/** Judges the upstreams of a pool by the outcomes of real work: ejects, tries and restores them. */
export class UpstreamJudge {
    readonly #options: UpstreamJudgeOptions;
    readonly #crashes: CrashMemory;
    readonly #backOff: BackOff;
    #service: Service;
    #upstreams: readonly PooledUpstream[] = [];

    /**
     * @param service - The service as configured.
     * @param options - What the judge is made of.
     */
    constructor(service: Service, options: UpstreamJudgeOptions) {
        this.#service = service;
        this.#options = options;
        this.#crashes = new CrashMemory(options.clock);
        this.#backOff = new BackOff(options.clock, options.random);
    }

    /**
     * Applies a change of the configuration.
     * @param service - The service as configured now.
     * @param upstreams - The upstreams of this part.
     */
    apply(service: Service, upstreams: readonly PooledUpstream[]): void {
        this.#service = service;
        this.#upstreams = upstreams;
        if (this.#isPrompt()) {
            this.startEarlyTrial();
            return;
        }
        this.#restoreToFloor();
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
        if (upstream.getState() === UpstreamState.Ejected && !this.#isConvicted(upstream)) {
            this.#restore(upstream, "a quarantined request had crashed it");
        }
    }

    /**
     * Ends the time out of work of the upstream that has been out longest, if fewer work than the floor wants or if
     * requests wait for a slot. Only where ejections are prompt, and so may be wrong; an upstream whose trial has failed
     * too is no healthy capacity, and the floor does not count it.
     * @param isShort - Whether requests wait for a slot.
     */
    startEarlyTrial(isShort = false): void {
        this.#startOrderTrial(
            this.#isPrompt() ? findEarlyTrial(this.#upstreams, this.#service.floor, isShort) : undefined,
        );
    }

    /** Lets orders try a resting upstream, if fewer upstreams than the floor have had a request lately. */
    startFloorTrial(): void {
        this.#startOrderTrial(this.#isPrompt() ? findFloorTrial(this.#upstreams, this.#service.floor) : undefined);
    }

    /**
     * Takes an upstream out of work whose answers stay out.
     * @param upstream - The upstream.
     */
    ejectSilent(upstream: PooledUpstream): void {
        upstream.isSilent = true;
        upstream.isFailingInTime = false;
        const reason = `silent: ${upstream.getRunning()} requests wait for an answer`;
        if (upstream.getState() === UpstreamState.Probation) {
            this.#eject(upstream, reason);
        }
        else if (upstream.isWorking()) {
            this.#ejectOrHold(upstream, reason);
        }
    }

    /** Stops the timers of ejected upstreams. */
    stop(): void {
        this.#backOff.stop();
    }

    #recordSuccess(upstream: PooledUpstream, observation: UpstreamObservation, baseline: BaselineRates): void {
        const latencyMs = observation.latencyMs ?? 0;
        const isSlow = this.#isSlow(observation, baseline);
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
            case UpstreamState.Held:
                upstream.detector.recordOutcome(false, baseline);
                upstream.detector.recordLatency(isSlow, baseline);
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
        upstream.isFailingInTime = observation.isAnswered === true ||
            (observation.latencyMs ?? Infinity) <= MAX_LOST_TIME_MS;
        if (isTrial) {
            this.#recordTrial(upstream, true, false, observation.detail);
            return;
        }
        if (!upstream.isWorking()) {
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
        const isJudged = upstream.isWorking() && upstream.getState() !== UpstreamState.Ramping;
        if (isJudged && this.#isSlow(observation, baseline)) {
            upstream.statistics.recordLatency(latencyMs, true);
            upstream.detector.recordLatency(true, baseline);
        }
    }

    #recordTrial(upstream: PooledUpstream, isFailure: boolean, isSlow: boolean, detail: string): void {
        const verdict = upstream.probation.record(isFailure, isSlow);
        switch (verdict) {
            case ProbationVerdict.Open:
                break;
            case ProbationVerdict.Passed:
                this.#restore(upstream, "its trial lookups passed");
                break;
            case ProbationVerdict.Failed:
                upstream.isTrialFailed = true;
                this.#eject(upstream, `a trial failed: ${detail}`);
                break;
        }
    }

    #recordRamp(upstream: PooledUpstream, isSlow: boolean): void {
        const isFull = !isSlow && upstream.recordRampAnswer();
        if (isFull || upstream.getStateAge() >= MAX_RAMP_MS) {
            upstream.send(UpstreamEvent.Warm, "its ramp has ended");
            this.#ejectHeld();
        }
        this.#options.onCapacity();
    }

    #applyEvidence(upstream: PooledUpstream, detail: string): void {
        if (!upstream.isWorking()) {
            return;
        }
        const share = getEvidenceShare(upstream);
        if (share >= 1) {
            this.#ejectOrHold(upstream, detail);
        }
        else if (share >= SUSPECT_SHARE) {
            upstream.send(UpstreamEvent.Suspect, detail);
        }
        else if (share < CLEAR_SHARE) {
            upstream.send(UpstreamEvent.Clear, "its answers are as its siblings'");
        }
    }

    #ejectOrHold(upstream: PooledUpstream, detail: string): void {
        const reason = getReason(upstream, detail);
        const canEject = this.#isPrompt()
            ? hasWorkingSiblings(upstream, this.#upstreams)
            : hasCapacityAboveFloor(upstream, this.#upstreams, this.#service.floor);
        if (canEject) {
            this.#eject(upstream, reason);
            this.startEarlyTrial();
        }
        else if (upstream.send(UpstreamEvent.Hold, `${reason}${FLOOR_NOTE}`)) {
            this.#recordDecision(Decision.EjectionWithheld, upstream);
        }
    }

    #eject(upstream: PooledUpstream, reason: string): void {
        if (!upstream.send(UpstreamEvent.Eject, reason)) {
            return;
        }
        const durationMs = this.#backOff.start(
            upstream,
            this.#getDetection(upstream),
            () => this.#startTrials(upstream),
        );
        this.#recordDecision(Decision.Ejected, upstream, { backOffMs: Math.round(durationMs) });
        this.#options.onCapacity();
    }

    /** A busy pool can't spare an upstream for a spell on one failure, which may be chance; a short rest tells. */
    #getDetection(upstream: PooledUpstream): DetectionSettings {
        const { detection } = this.#service;
        const { busyProbationMs } = detection;
        return busyProbationMs === undefined || upstream.isTrialFailed || upstream.isSilent || !isBusy(this.#upstreams)
            ? detection
            : { ...detection, probationMs: busyProbationMs };
    }

    #startOrderTrial(upstream: PooledUpstream | undefined): void {
        if (upstream !== undefined) {
            this.#backOff.cancel(upstream);
            upstream.orderTrialTime = this.#options.clock.getTime();
            this.#startTrials(upstream);
        }
    }

    #startTrials(upstream: PooledUpstream): void {
        if (!this.#isBaseline()) {
            upstream.send(UpstreamEvent.Try, "its time out of work has ended");
        }
        else if (upstream.send(UpstreamEvent.Clear, "its time out of work has ended")) {
            upstream.detector.restore();
            this.#recordDecision(Decision.Restored, upstream);
        }
        this.#options.onCapacity();
    }

    #restore(upstream: PooledUpstream, reason: string): void {
        this.#backOff.cancel(upstream);
        // Where a spell of failures has ended, the upstream is warm and takes its full share at once.
        const event = this.#isPrompt() && upstream.getState() === UpstreamState.Probation
            ? UpstreamEvent.Clear
            : UpstreamEvent.Restore;
        if (upstream.send(event, reason)) {
            upstream.detector.restore();
            upstream.isTrialFailed = false;
            upstream.restoredTime = this.#options.clock.getTime();
            this.#recordDecision(Decision.Restored, upstream);
            this.#ejectHeld();
            this.#options.onCapacity();
        }
    }

    #ejectHeld(): void {
        const held = this.#upstreams.filter(upstream => upstream.getState() === UpstreamState.Held);
        held.sort((left, right) => getEvidenceShare(right) - getEvidenceShare(left));
        held.filter(upstream => this.#isConvicted(upstream)).forEach(upstream =>
            this.#ejectOrHold(upstream, upstream.reason)
        );
    }

    #restoreToFloor(): void {
        const out = this.#upstreams.filter(upstream =>
            upstream.getState() === UpstreamState.Ejected || upstream.getState() === UpstreamState.Probation
        );
        const required = Math.ceil(this.#service.floor * this.#upstreams.length);
        let working = this.#upstreams.filter(upstream => upstream.isWorking()).length;
        for (const upstream of out) {
            if (working >= required) {
                return;
            }
            this.#restore(upstream, "the floor needs it");
            working++;
        }
    }

    #isConvicted(upstream: PooledUpstream): boolean {
        return getEvidenceShare(upstream) >= 1;
    }

    #isSlow({ latencyMs, usualMs }: UpstreamObservation, baseline: BaselineRates): boolean {
        const medianMs = usualMs ?? baseline.medianMs;
        return medianMs !== undefined && (latencyMs ?? 0) > this.#service.detection.slowFactor * medianMs;
    }

    #isBaseline(): boolean {
        return this.#options.policy === EjectionPolicy.Baseline;
    }

    #isPrompt(): boolean {
        return this.#options.policy === EjectionPolicy.Prompt;
    }

    #recordDecision(decision: Decision, upstream: PooledUpstream, figures: Record<string, number> = {}): void {
        this.#options.decisions.record({
            decision,
            reason: upstream.reason,
            service: this.#service.name,
            upstream: upstream.getUpstream().name,
            figures: {
                errorEvidence: upstream.detector.getErrorEvidence(),
                latencyEvidence: upstream.detector.getLatencyEvidence(),
                threshold: upstream.detector.getThreshold(),
                ...figures,
            },
        });
    }
}

function getEvidenceShare(upstream: PooledUpstream): number {
    const { detector } = upstream;
    return Math.max(detector.getErrorEvidence(), detector.getLatencyEvidence()) / detector.getThreshold();
}

/** A held upstream that is ejected later keeps the reason that it was held for. */
function getReason(upstream: PooledUpstream, detail: string): string {
    if (upstream.getState() === UpstreamState.Held) {
        return detail.replace(FLOOR_NOTE, "");
    }
    return upstream.detector.getLatencyEvidence() > upstream.detector.getErrorEvidence()
        ? "slow against its siblings"
        : `failing: ${detail}`;
}
