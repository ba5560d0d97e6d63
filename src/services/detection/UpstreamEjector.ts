import type { DetectionSettings, Service } from "../../configuration/index.js";
import { Decision } from "../../logging/index.js";
import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamEvent } from "../pools/UpstreamEvent.js";
import { UpstreamState } from "../pools/UpstreamState.js";
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

const WITHHELD_SUFFIX = "; ejection withheld, too few others are in service";

/** Ejects upstreams as far as the floor allows, starts their trials and restores them. */
export class UpstreamEjector {
    readonly #options: OutlierDetectorOptions;
    readonly #backOff: BackOff;
    #service: Service;
    #upstreams: readonly PooledUpstream[] = [];

    /**
     * @param service - The service as configured.
     * @param options - The dependencies.
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
        this.#restoreUpToFloor();
    }

    /**
     * Ends the ejection of the upstream that was ejected first, if fewer upstreams than the floor are in service or if no
     * slot is free. Applies to the prompt policy only, which ejects on little evidence and so may eject healthy upstreams. An
     * upstream whose trial has failed too doesn't count towards the floor.
     * @param isShortOfSlots - Whether no slot is free.
     */
    startEarlyTrial(isShortOfSlots = false): void {
        this.#startOrderTrial(
            this.#isPrompt() ? findEarlyTrialUpstream(this.#upstreams, this.#service.floor, isShortOfSlots) : undefined,
        );
    }

    /** Restores an ejected slow upstream, or starts a trial of a failing one, while no upstream of the service is available. */
    startLastResortTrial(): void {
        const upstream = this.#isPrompt() ? findLastResortUpstream(this.#upstreams) : undefined;
        if (upstream === undefined || this.#options.hasCapacityElsewhere()) {
            return;
        }
        if (isLatencyOutlier(upstream)) {
            this.restore(upstream, "no other upstream of the service is available");
        }
        else {
            this.#startOrderTrial(upstream);
        }
    }

    /** Starts a trial open to any request, if fewer upstreams than the floor have had a request lately. */
    startFloorTrial(): void {
        const upstream = this.#isPrompt() ? findFloorTrialUpstream(this.#upstreams, this.#service.floor) : undefined;
        if (upstream !== undefined) {
            upstream.floorTrialTime = this.#options.clock.getTime();
        }
        this.#startOrderTrial(upstream);
    }

    /**
     * Ejects an upstream, or withholds the ejection if too few others are in service.
     * @param upstream - The upstream.
     * @param detail - The last observation.
     */
    ejectOrWithhold(upstream: PooledUpstream, detail: string): void {
        const reason = getReason(upstream, detail);
        if (this.#isEjectable(upstream)) {
            this.eject(upstream, reason);
            this.startEarlyTrial();
        }
        else if (upstream.send(UpstreamEvent.WithholdEjection, `${reason}${WITHHELD_SUFFIX}`)) {
            this.#recordDecision(Decision.EjectionWithheld, upstream);
        }
    }

    /**
     * Ejects an upstream.
     * @param upstream - The upstream.
     * @param reason - The reason.
     */
    eject(upstream: PooledUpstream, reason: string): void {
        if (!upstream.send(UpstreamEvent.Eject, reason)) {
            return;
        }
        const durationMs = this.#backOff.start(
            upstream,
            this.#getDetection(upstream),
            () => this.#startProbation(upstream),
        );
        this.#recordDecision(Decision.Ejected, upstream, { backOffMs: Math.round(durationMs) });
        this.#options.onCapacityChange();
    }

    /**
     * Puts an upstream back in service.
     * @param upstream - The upstream.
     * @param reason - The reason.
     */
    restore(upstream: PooledUpstream, reason: string): void {
        this.#backOff.cancel(upstream);
        // An upstream that recovers from intermittent failures is still warm, so it takes its full share without a ramp.
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

    /** Ejects the upstreams with a withheld ejection whose evidence still reaches the threshold, as far as the floor allows now. */
    ejectWithheld(): void {
        const withheld = this.#upstreams.filter(upstream => upstream.getState() === UpstreamState.EjectionWithheld);
        withheld.sort((left, right) => getEvidenceRatio(right) - getEvidenceRatio(left));
        withheld.filter(upstream => this.#hasReachedThreshold(upstream)).forEach(upstream =>
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
        // A slow answer is better than none. A failing upstream loses the orders sent to it, so these are better refused as not run.
        const mayEjectAll = !isLatencyOutlier(upstream) || !isReachable(upstream) ||
            this.#options.hasCapacityElsewhere();
        return hasEnoughSiblings(upstream, this.#upstreams, mayEjectAll);
    }

    /**
     * Gets the ejection times. A busy pool has no spare capacity, and one failure may be chance, so the first ejection is short.
     * While no other upstream of the service is available, every ejection is short.
     */
    #getDetection(upstream: PooledUpstream): DetectionSettings {
        const { detection } = this.#service;
        const { busyProbationMs } = detection;
        if (busyProbationMs === undefined || upstream.isSilent) {
            return detection;
        }
        if (this.#isLastAvailable(upstream)) {
            return { ...detection, probationMs: busyProbationMs, retrialMs: busyProbationMs };
        }
        return upstream.hasFailedTrial || !isBusy(this.#upstreams)
            ? detection
            : { ...detection, probationMs: busyProbationMs };
    }

    #isLastAvailable(upstream: PooledUpstream): boolean {
        return !this.#upstreams.some(other => other !== upstream && other.isInService()) &&
            !this.#options.hasCapacityElsewhere();
    }

    #startOrderTrial(upstream: PooledUpstream | undefined): void {
        if (upstream !== undefined) {
            this.#backOff.cancel(upstream);
            upstream.orderTrialTime = this.#options.clock.getTime();
            this.#startProbation(upstream);
        }
    }

    #startProbation(upstream: PooledUpstream): void {
        if (!this.#isBaseline()) {
            upstream.send(UpstreamEvent.StartProbation, "its ejection time has ended");
        }
        else if (upstream.send(UpstreamEvent.Clear, "its ejection time has ended")) {
            upstream.detector.restore();
            this.#recordDecision(Decision.Restored, upstream);
        }
        this.#options.onCapacityChange();
    }

    #restoreUpToFloor(): void {
        const outOfService = this.#upstreams.filter(upstream =>
            upstream.getState() === UpstreamState.Ejected || upstream.getState() === UpstreamState.Probation
        );
        const required = Math.ceil(this.#service.floor * this.#upstreams.length);
        let inService = this.#upstreams.filter(upstream => upstream.isInService()).length;
        for (const upstream of outOfService) {
            if (inService >= required) {
                return;
            }
            this.restore(upstream, "too few upstreams are in service for the floor");
            inService++;
        }
    }

    #hasReachedThreshold(upstream: PooledUpstream): boolean {
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

/** An upstream whose withheld ejection is carried out later keeps its first reason. */
function getReason(upstream: PooledUpstream, detail: string): string {
    if (upstream.getState() === UpstreamState.EjectionWithheld) {
        return detail.replace(WITHHELD_SUFFIX, "");
    }
    return isLatencyOutlier(upstream) ? "slow relative to its siblings" : `failing: ${detail}`;
}
