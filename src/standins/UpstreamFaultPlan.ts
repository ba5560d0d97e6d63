import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { FaultSet } from "./FaultSet.js";
import { getServiceTime } from "./getServiceTime.js";
import type { PlannedWork } from "./PlannedWork.js";
import type { UpstreamStandInSettings } from "./UpstreamStandInSettings.js";

const FLAP_PHASES = 2;

/** Plans each request's work from the settings and the faults in force. */
export class UpstreamFaultPlan {
    readonly #settings: UpstreamStandInSettings;
    readonly #clock: Clock;
    readonly #random: RandomSource;
    #faults: FaultSet;
    #faultsSince: number;
    #startedAt: number;

    /**
     * @param settings - The upstream's settings.
     * @param clock - The source of time.
     * @param random - The source of random numbers.
     */
    constructor(settings: UpstreamStandInSettings, clock: Clock, random: RandomSource) {
        this.#settings = settings;
        this.#clock = clock;
        this.#random = random;
        this.#faults = settings.faults;
        this.#faultsSince = clock.getTime();
        this.#startedAt = clock.getTime();
    }

    /** Gets the faults in force. */
    getFaults(): FaultSet {
        return this.#faults;
    }

    /**
     * Applies faults.
     * @param faults - All faults that shall hold from now on.
     */
    apply(faults: FaultSet): void {
        this.#faults = faults;
        this.#faultsSince = this.#clock.getTime();
    }

    /** Records a crash, after which the upstream is down and then cold. */
    recordCrash(): void {
        this.#startedAt = this.#clock.getTime() + this.#settings.crashDownMs;
    }

    /** Whether the upstream has crashed and is not back yet. */
    isDown(): boolean {
        return this.#clock.getTime() < this.#startedAt;
    }

    /** Creates the plan of the next request's work. */
    createWork(): PlannedWork {
        const faults = this.#faults;
        const isFaulty = this.#isFaulty();
        const hasHit = (share: number): boolean => this.#random.getNext() < share && isFaulty;
        const factor = (isFaulty ? faults.slowFactor : 1) * this.#getColdFactor();
        return {
            serviceTimeMs: getServiceTime(this.#settings.serviceTime, this.#random) * factor,
            isError: hasHit(faults.errorShare),
            isCut: hasHit(faults.cutShare),
            isStray: hasHit(faults.strayShare),
            isCrossed: hasHit(faults.crossShare),
            lateMs: hasHit(faults.lateShare) ? faults.lateMs : 0,
        };
    }

    #isFaulty(): boolean {
        const period = this.#faults.flapPeriodMs;
        if (period === 0) {
            return true;
        }
        const phase = Math.floor((this.#clock.getTime() - this.#faultsSince) / period);
        return phase % FLAP_PHASES === 0;
    }

    #getColdFactor(): number {
        const isCold = this.#clock.getTime() - this.#startedAt < this.#settings.coldStartMs;
        return isCold ? this.#settings.coldStartFactor : 1;
    }
}
