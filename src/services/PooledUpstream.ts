import { interpret } from "robot3";
import type { Service as MachineService } from "robot3";
import type { Upstream } from "../configuration/index.js";
import type { Clock } from "../time/index.js";
import { createUpstreamMachine } from "./createUpstreamMachine.js";
import { PendingRequests } from "./PendingRequests.js";
import type { PooledUpstreamOptions } from "./PooledUpstreamOptions.js";
import { ProbationTest } from "./ProbationTest.js";
import type { UpstreamDetector } from "./UpstreamDetector.js";
import type { UpstreamEvent } from "./UpstreamEvent.js";
import { UpstreamState } from "./UpstreamState.js";
import { UpstreamStatistics } from "./UpstreamStatistics.js";

type Machine = ReturnType<typeof createUpstreamMachine>;

/** An upstream of a pool: its lifecycle, its used slots and what is known of its health. */
export class PooledUpstream {
    readonly statistics = new UpstreamStatistics();
    readonly detector: UpstreamDetector;
    readonly pendingRequests = new PendingRequests();
    /** Whether answers stayed out and none has come since. */
    isSilent = false;
    probation: ProbationTest;
    /** Ejections of late that followed each other closely. */
    consecutiveEjections = 0;
    /** When it came back last, in milliseconds. */
    restoredTime = Number.NEGATIVE_INFINITY;
    /** Whether its last attempt could not open a connection. */
    isConnectFailing = false;
    /** Whether the trials of its time out of work have failed so far. */
    hasFailedTrial = false;
    /** Whether its last failure came no later than an answer would have, so that a lookup can be sent again in time. */
    isFailingFast = false;
    /** When orders may try it, in milliseconds; lookups may earlier. */
    orderTrialTime = Number.NEGATIVE_INFINITY;
    /** When the floor asked for a trial of it last, in milliseconds. */
    floorTrialTime = Number.NEGATIVE_INFINITY;
    /** Why it is in its state. */
    reason = "";
    readonly #clock: Clock;
    readonly #trialsToPass: number | undefined;
    readonly #machine: MachineService<Machine>;
    #upstream: Upstream;
    #running = 0;
    #lastClaim = Number.NEGATIVE_INFINITY;
    #since: number;
    #ejectedTime = Number.NEGATIVE_INFINITY;
    #rampSlots = 1;
    #rampAnswers = 0;
    #shedUntil = Number.NEGATIVE_INFINITY;

    /**
     * @param upstream - The upstream as configured.
     * @param initial - The state that it begins in.
     * @param detector - Judges it.
     * @param options - The source of time, and how many trials bring it back.
     */
    constructor(
        upstream: Upstream,
        initial: UpstreamState,
        detector: UpstreamDetector,
        { clock, trialsToPass }: PooledUpstreamOptions,
    ) {
        this.#upstream = upstream;
        this.detector = detector;
        this.#clock = clock;
        this.#trialsToPass = trialsToPass;
        this.probation = new ProbationTest(trialsToPass);
        this.#since = clock.getTime();
        this.#machine = interpret(createUpstreamMachine(initial), () => {});
    }

    /** Gets the upstream as configured. */
    getUpstream(): Upstream {
        return this.#upstream;
    }

    /**
     * Applies a change of the configuration.
     * @param upstream - The upstream as configured now.
     */
    apply(upstream: Upstream): void {
        this.#upstream = upstream;
    }

    /** Gets where it stands in its life. */
    getState(): UpstreamState {
        return this.#machine.machine.current as UpstreamState;
    }

    /** Gets the wall-clock time at which its state began, in milliseconds since the Unix epoch. */
    getSince(): number {
        return this.#clock.getWallTime() - (this.#clock.getTime() - this.#since);
    }

    /**
     * Sends an event to the lifecycle; returns whether the state changed.
     * @param event - The event.
     * @param reason - Why.
     */
    send(event: UpstreamEvent, reason: string): boolean {
        const before = this.getState();
        this.#machine.send({ type: event } as never);
        const after = this.getState();
        if (before === after) {
            return false;
        }
        this.reason = reason;
        this.#since = this.#clock.getTime();
        this.#startState(after);
        return true;
    }

    /** Gets the number of slots in use. */
    getRunning(): number {
        return this.#running;
    }

    /** Gets the number of slots that may be used now. */
    getLimit(): number {
        switch (this.getState()) {
            case UpstreamState.Healthy:
            case UpstreamState.Suspected:
            case UpstreamState.EjectionWithheld:
                return this.#upstream.slots;
            case UpstreamState.Ramping:
                return Math.min(this.#rampSlots, this.#upstream.slots);
            case UpstreamState.Probation:
                return 1;
            case UpstreamState.Ejected:
            case UpstreamState.Draining:
                return 0;
        }
    }

    /** Whether one more request may be sent to it now. */
    hasFreeSlot(): boolean {
        return this.#running < this.getLimit() && this.#clock.getTime() >= this.#shedUntil;
    }

    /** Whether it counts as healthy capacity. */
    isInService(): boolean {
        const state = this.getState();
        return state !== UpstreamState.Ejected && state !== UpstreamState.Draining &&
            state !== UpstreamState.Probation;
    }

    /** Whether it is on trial by lookups only. */
    isReservedForLookups(): boolean {
        return this.getState() === UpstreamState.Probation && this.#clock.getTime() < this.orderTrialTime;
    }

    /** Whether orders may try it and none has since. */
    isOrderTrialDue(): boolean {
        return this.orderTrialTime <= this.#clock.getTime() && this.orderTrialTime > this.#lastClaim;
    }

    /** Whether the floor has asked for a trial of it and none has come since. */
    isFloorTrialDue(): boolean {
        return this.floorTrialTime > this.#lastClaim;
    }

    /** Gets when a slot of it was claimed last, in milliseconds. */
    getLastClaimTime(): number {
        return this.#lastClaim;
    }

    /** Gets how long ago a slot of it was claimed last, in milliseconds. */
    getIdleTime(): number {
        return this.#clock.getTime() - this.#lastClaim;
    }

    /**
     * Uses a slot.
     * @param usualMs - How long the answer usually takes at most, in milliseconds; 0 if that is not known.
     * @param timeoutMs - How long the answer is of use, in milliseconds.
     */
    claim(usualMs: number, timeoutMs: number): void {
        this.#running++;
        this.#lastClaim = this.#clock.getTime();
        this.pendingRequests.add(this.#lastClaim, usualMs, timeoutMs);
    }

    /** Gives a slot back. */
    release(): void {
        this.#running--;
        this.pendingRequests.remove();
    }

    /** Records that an answer began. */
    recordAnswer(): void {
        this.isSilent = false;
        this.pendingRequests.recordAnswer(this.#clock.getTime());
    }

    /**
     * Records that it shed load; it gets no work for a while.
     * @param pauseMs - For how long, in milliseconds.
     */
    recordShed(pauseMs: number): void {
        this.#shedUntil = this.#clock.getTime() + pauseMs;
    }

    /** Records an answer that came in time; returns whether the ramp has reached all slots. */
    recordRampAnswer(): boolean {
        this.#rampAnswers++;
        if (this.#rampAnswers >= this.#rampSlots) {
            this.#rampAnswers = 0;
            this.#rampSlots++;
        }
        return this.#rampSlots > this.#upstream.slots;
    }

    /** Gets how long it has been in its state, in milliseconds. */
    getStateAge(): number {
        return this.#clock.getTime() - this.#since;
    }

    /** Gets how long ago it was ejected, in milliseconds. */
    getTimeSinceEjection(): number {
        return this.#clock.getTime() - this.#ejectedTime;
    }

    #startState(state: UpstreamState): void {
        switch (state) {
            case UpstreamState.Ejected:
                this.#ejectedTime = this.#clock.getTime();
                break;
            case UpstreamState.Probation:
                this.probation = new ProbationTest(this.#trialsToPass);
                break;
            case UpstreamState.Ramping:
                this.#rampSlots = 1;
                this.#rampAnswers = 0;
                this.detector.restore();
                break;
            case UpstreamState.Healthy:
            case UpstreamState.Suspected:
            case UpstreamState.EjectionWithheld:
            case UpstreamState.Draining:
                break;
        }
    }
}
