import { interpret } from "robot3";
import type { Service as MachineService } from "robot3";
import type { Upstream } from "../../configuration/index.js";
import type { Clock } from "../../time/index.js";
import { PendingRequests } from "../detection/PendingRequests.js";
import { ProbationTest } from "../detection/ProbationTest.js";
import type { UpstreamDetector } from "../detection/UpstreamDetector.js";
import { UpstreamStatistics } from "../detection/UpstreamStatistics.js";
import type { UpstreamRateLimiter } from "../queue/UpstreamRateLimiter.js";
import { createUpstreamMachine } from "./createUpstreamMachine.js";
import type { PooledUpstreamOptions } from "./PooledUpstreamOptions.js";
import type { UpstreamEvent } from "./UpstreamEvent.js";
import { UpstreamState } from "./UpstreamState.js";

type Machine = ReturnType<typeof createUpstreamMachine>;

/** An upstream of a pool with its lifecycle, its slots and its health statistics. */
export class PooledUpstream {
    readonly statistics = new UpstreamStatistics();
    readonly detector: UpstreamDetector;
    readonly pendingRequests = new PendingRequests();
    /** Keeps the requests to it within the rate that it accepts. */
    readonly rateLimiter: UpstreamRateLimiter;
    /** Whether its responses are overdue and none has arrived since that was detected. */
    isSilent = false;
    probation: ProbationTest;
    /** Number of ejections in a row, each soon after it was restored from the one before. */
    consecutiveEjections = 0;
    /** When it was restored last, in milliseconds. */
    restoredTime = Number.NEGATIVE_INFINITY;
    /** Whether its last attempt could not open a connection. */
    isConnectFailing = false;
    /** Whether a trial has failed since it was last in service. */
    hasFailedTrial = false;
    /** Whether its last failure came as early as an answer usually does, so that a lookup (idempotent request) can be retried in time. */
    isFailingFast = false;
    /** The time from which orders (requests that are not idempotent) may be trials, in milliseconds; lookups may be trials earlier. */
    orderTrialTime = Number.NEGATIVE_INFINITY;
    /** When the floor last required a trial, in milliseconds. */
    floorTrialTime = Number.NEGATIVE_INFINITY;
    /** The reason of its current state. */
    reason = "";
    readonly #clock: Clock;
    readonly #trialsToPass: number | undefined;
    readonly #machine: MachineService<Machine>;
    #upstream: Upstream;
    /** When it was or will be warm, in milliseconds of the clock. */
    #warmTime = Number.NEGATIVE_INFINITY;
    #running = 0;
    #lastClaimTime = Number.NEGATIVE_INFINITY;
    #since: number;
    #ejectedTime = Number.NEGATIVE_INFINITY;
    #rampSlots = 1;
    #rampAnswers = 0;
    #pausedUntil = Number.NEGATIVE_INFINITY;

    /**
     * @param upstream - The upstream as configured.
     * @param initial - The initial state.
     * @param detector - Collects the evidence against it.
     * @param options - The source of time, the rate limiter, and the number of passed trials that restore it.
     */
    constructor(
        upstream: Upstream,
        initial: UpstreamState,
        detector: UpstreamDetector,
        { clock, trialsToPass, rateLimiter }: PooledUpstreamOptions,
    ) {
        this.#upstream = upstream;
        this.detector = detector;
        this.#clock = clock;
        this.#trialsToPass = trialsToPass;
        this.rateLimiter = rateLimiter;
        this.probation = new ProbationTest(trialsToPass);
        this.#since = clock.getTime();
        this.#machine = interpret(createUpstreamMachine(initial), () => {});
        this.apply(upstream);
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
        this.#warmTime = upstream.warmTime ?? Math.min(this.#warmTime, this.#clock.getTime());
    }

    /**
     * Whether it is cold, or was within a time.
     * @param ageMs - The time, in milliseconds.
     */
    isCold(ageMs = 0): boolean {
        return this.#warmTime > this.#clock.getTime() - ageMs;
    }

    /** Gets the time until it is warm, in milliseconds. */
    getColdMs(): number {
        return Math.max(0, this.#warmTime - this.#clock.getTime());
    }

    /** Gets the state of its lifecycle. */
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
     * @param reason - Why it is sent; kept as the reason of the new state.
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
        return this.#running < this.getLimit() && this.getPauseMs() === 0;
    }

    /** Gets the time until it may be sent a request, whether or not a slot is free, in milliseconds. */
    getPauseMs(): number {
        return Math.max(0, this.#pausedUntil - this.#clock.getTime(), this.rateLimiter.getPauseMs());
    }

    /** Whether it is in service: neither ejected, draining nor on probation. */
    isInService(): boolean {
        const state = this.getState();
        return state !== UpstreamState.Ejected && state !== UpstreamState.Draining &&
            state !== UpstreamState.Probation;
    }

    /** Whether it is on probation and only lookups may be trials yet. */
    isReservedForLookups(): boolean {
        return this.getState() === UpstreamState.Probation && this.#clock.getTime() < this.orderTrialTime;
    }

    /** Whether orders may be trials and no slot was claimed since that began. */
    isOrderTrialDue(): boolean {
        return this.orderTrialTime <= this.#clock.getTime() && this.orderTrialTime > this.#lastClaimTime;
    }

    /** Whether the floor requires a trial and no slot was claimed since. */
    isFloorTrialDue(): boolean {
        return this.floorTrialTime > this.#lastClaimTime;
    }

    /** Gets the time at which a slot was last claimed, in milliseconds. */
    getLastClaimTime(): number {
        return this.#lastClaimTime;
    }

    /** Gets the time since a slot was last claimed, in milliseconds. */
    getIdleTime(): number {
        return this.#clock.getTime() - this.#lastClaimTime;
    }

    /**
     * Claims a slot for a request, which counts towards the rate limit.
     * @param usualMs - The time within which most answers arrive, in milliseconds; 0 if unknown.
     * @param timeoutMs - Time to the deadline of the request, in milliseconds.
     */
    claim(usualMs: number, timeoutMs: number): void {
        this.#running++;
        this.rateLimiter.spend();
        this.#lastClaimTime = this.#clock.getTime();
        this.pendingRequests.add(this.#lastClaimTime, usualMs, timeoutMs);
    }

    /** Releases a slot. */
    release(): void {
        this.#running--;
        this.pendingRequests.remove();
    }

    /** Records that an answer started to arrive. */
    recordAnswer(): void {
        this.isSilent = false;
        this.pendingRequests.recordAnswer(this.#clock.getTime());
    }

    /**
     * Records that it wants no requests for a time; a longer pause that has begun before stays.
     * @param pauseMs - The length of the pause, in milliseconds.
     */
    recordPause(pauseMs: number): void {
        this.#pausedUntil = Math.max(this.#pausedUntil, this.#clock.getTime() + pauseMs);
    }

    /** Records an answer in time during the ramp; returns whether the ramp has reached all slots. */
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

    /** Gets the time since it was last ejected, in milliseconds. */
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
