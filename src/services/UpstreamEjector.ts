import type { DetectionSettings, Service } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import { BackOff } from "./BackOff.js";
import { EjectionPolicy } from "./EjectionPolicy.js";
import { findEarlyTrialUpstream } from "./findEarlyTrialUpstream.js";
import { findFloorTrialUpstream } from "./findFloorTrialUpstream.js";
import { findLastResortUpstream } from "./findLastResortUpstream.js";
import { getEvidenceRatio } from "./getEvidenceRatio.js";
import { hasCapacityAboveFloor } from "./hasCapacityAboveFloor.js";
import { hasEnoughSiblings } from "./hasEnoughSiblings.js";
import { isBusy } from "./isBusy.js";
import { isLatencyOutlier } from "./isLatencyOutlier.js";
import { isReachable } from "./isReachable.js";
import type { OutlierDetectorOptions } from "./OutlierDetectorOptions.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import { UpstreamEvent } from "./UpstreamEvent.js";
import { UpstreamState } from "./UpstreamState.js";

const FLOOR_NOTE = "; the floor forbids its ejection";

/** Takes convicted upstreams of a pool out of work as far as the floor allows, has them tried and brings them back. */
export class UpstreamEjector {
    readonly #options: OutlierDetectorOptions;
    readonly #backOff: BackOff;
    #service: Service;
    #upstreams: readonly PooledUpstream[] = [];

    /**
     * @param service - The service as configured.
     * @param options - What the judge is made of.
     */
    constructor(service: Service, options: OutlierDetectorOptions) {
        this.#service = service;
        this.#options = options;
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
     * Ends the time out of work of the upstream that has been out longest, if fewer work than the floor wants or if
     * requests wait for a slot. Only where ejections are prompt, and so may be wrong; an upstream whose trial has failed
     * too is no healthy capacity, and the floor does not count it.
     * @param isShort - Whether requests wait for a slot.
     */
    startEarlyTrial(isShort = false): void {
        this.#startOrderTrial(
            this.#isPrompt() ? findEarlyTrialUpstream(this.#upstreams, this.#service.floor, isShort) : undefined,
        );
    }

    /** Brings a resting upstream back, or lets any request try it, while nothing else of the service works. */
    startLastResortTrial(): void {
        const upstream = this.#isPrompt() ? findLastResortUpstream(this.#upstreams) : undefined;
        if (upstream === undefined || this.#options.hasCapacityElsewhere()) {
            return;
        }
        if (isLatencyOutlier(upstream)) {
            this.restore(upstream, "nothing else of the service works");
        }
        else {
            this.#startOrderTrial(upstream);
        }
    }

    /** Lets any request try a resting upstream, if fewer upstreams than the floor have had a request lately. */
    startFloorTrial(): void {
        const upstream = this.#isPrompt() ? findFloorTrialUpstream(this.#upstreams, this.#service.floor) : undefined;
        if (upstream !== undefined) {
            upstream.floorTrialTime = this.#options.clock.getTime();
        }
        this.#startOrderTrial(upstream);
    }

    /**
     * Ejects an upstream, or holds it if too few others work.
     * @param upstream - The upstream.
     * @param detail - What has convicted it.
     */
    ejectOrWithhold(upstream: PooledUpstream, detail: string): void {
        const reason = getReason(upstream, detail);
        if (this.#isEjectable(upstream)) {
            this.eject(upstream, reason);
            this.startEarlyTrial();
        }
        else if (upstream.send(UpstreamEvent.WithholdEjection, `${reason}${FLOOR_NOTE}`)) {
            this.#recordDecision(Decision.EjectionWithheld, upstream);
        }
    }

    /**
     * Ejects an upstream.
     * @param upstream - The upstream.
     * @param reason - Why.
     */
    eject(upstream: PooledUpstream, reason: string): void {
        if (!upstream.send(UpstreamEvent.Eject, reason)) {
            return;
        }
        const durationMs = this.#backOff.start(
            upstream,
            this.#getDetection(upstream),
            () => this.#startTrials(upstream),
        );
        this.#recordDecision(Decision.Ejected, upstream, { backOffMs: Math.round(durationMs) });
        this.#options.onCapacityChange();
    }

    /**
     * Brings an upstream back.
     * @param upstream - The upstream.
     * @param reason - Why.
     */
    restore(upstream: PooledUpstream, reason: string): void {
        this.#backOff.cancel(upstream);
        // Where a spell of failures has ended, the upstream is warm and takes its full share at once.
        const event = this.#isPrompt() && upstream.getState() === UpstreamState.Probation
            ? UpstreamEvent.Clear
            : UpstreamEvent.Restore;
        if (upstream.send(event, reason)) {
            upstream.detector.restore();
            upstream.hasFailedTrial = false;
            upstream.restoredTime = this.#options.clock.getTime();
            this.#recordDecision(Decision.Restored, upstream);
            this.ejectWithheld();
            this.#options.onCapacityChange();
        }
    }

    /** Ejects the held upstreams that are still convicted, as far as the floor allows now. */
    ejectWithheld(): void {
        const held = this.#upstreams.filter(upstream => upstream.getState() === UpstreamState.EjectionWithheld);
        held.sort((left, right) => getEvidenceRatio(right) - getEvidenceRatio(left));
        held.filter(upstream => this.#isConvicted(upstream)).forEach(upstream =>
            this.ejectOrWithhold(upstream, upstream.reason)
        );
    }

    /** Stops the timers of ejected upstreams. */
    stop(): void {
        this.#backOff.stop();
    }

    #isEjectable(upstream: PooledUpstream): boolean {
        if (!this.#isPrompt()) {
            return hasCapacityAboveFloor(upstream, this.#upstreams, this.#service.floor);
        }
        // A slow answer is better than none; one that fails loses the orders that it gets, which are better refused as not run.
        const mayLoseAll = !isLatencyOutlier(upstream) || !isReachable(upstream) ||
            this.#options.hasCapacityElsewhere();
        return hasEnoughSiblings(upstream, this.#upstreams, mayLoseAll);
    }

    /**
     * A busy pool can't spare an upstream for a spell on one failure, which may be chance; a short rest tells. While nothing else of
     * the service works, each rest is a short one.
     */
    #getDetection(upstream: PooledUpstream): DetectionSettings {
        const { detection } = this.#service;
        const { busyProbationMs } = detection;
        if (busyProbationMs === undefined || upstream.isSilent) {
            return detection;
        }
        if (this.#isLast(upstream)) {
            return { ...detection, probationMs: busyProbationMs, retrialMs: busyProbationMs };
        }
        return upstream.hasFailedTrial || !isBusy(this.#upstreams)
            ? detection
            : { ...detection, probationMs: busyProbationMs };
    }

    #isLast(upstream: PooledUpstream): boolean {
        return !this.#upstreams.some(other => other !== upstream && other.isInService()) &&
            !this.#options.hasCapacityElsewhere();
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
            upstream.send(UpstreamEvent.StartProbation, "its time out of work has ended");
        }
        else if (upstream.send(UpstreamEvent.Clear, "its time out of work has ended")) {
            upstream.detector.restore();
            this.#recordDecision(Decision.Restored, upstream);
        }
        this.#options.onCapacityChange();
    }

    #restoreToFloor(): void {
        const out = this.#upstreams.filter(upstream =>
            upstream.getState() === UpstreamState.Ejected || upstream.getState() === UpstreamState.Probation
        );
        const required = Math.ceil(this.#service.floor * this.#upstreams.length);
        let working = this.#upstreams.filter(upstream => upstream.isInService()).length;
        for (const upstream of out) {
            if (working >= required) {
                return;
            }
            this.restore(upstream, "the floor needs it");
            working++;
        }
    }

    #isConvicted(upstream: PooledUpstream): boolean {
        return getEvidenceRatio(upstream) >= 1;
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

/** A held upstream that is ejected later keeps the reason that it was held for. */
function getReason(upstream: PooledUpstream, detail: string): string {
    if (upstream.getState() === UpstreamState.EjectionWithheld) {
        return detail.replace(FLOOR_NOTE, "");
    }
    return isLatencyOutlier(upstream) ? "slow against its siblings" : `failing: ${detail}`;
}
