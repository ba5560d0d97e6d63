import type { ScheduledCall } from "../time/index.js";
import type { BodyKind } from "./BodyKind.js";
import type { BodyPlace } from "./BodyPlace.js";
import type { BodyRoomOptions } from "./BodyRoomOptions.js";
import { MemoryAction } from "./MemoryAction.js";

/** Bodies up to this size have a share of their own, so that large ones never keep them out, in bytes. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Share of a kind's limit that is kept for small bodies. */
const SMALL_SHARE = 0.25;
/** How long a body waits for memory, in milliseconds; callers give up after a second without a reader. */
const MAX_WAIT_MS = 750;
/** A body with less progress than `PROGRESS_BYTES` in this time makes way for one that waits, in milliseconds. */
const STALL_MS = 500;
/** Progress that is expected in `STALL_MS`, in bytes: 0.25 Mbit/s. */
const PROGRESS_BYTES = 16 * 1024;
/** Time between two looks at the bodies that are being read, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** A body that waits for memory. */
interface Waiter {
    readonly place: BodyPlace;
    readonly bytes: number;
    readonly endTime: number;
    readonly resolve: (isGranted: boolean) => void;
}

/**
 * Decides which bodies are read: the smallest first, and the slowest makes way for one that waits. A body that is larger than its share
 * is read while no other such body is held in this process.
 */
export class BodyRoom {
    readonly #options: BodyRoomOptions;
    readonly #places = new Set<BodyPlace>();
    #waiters: Waiter[] = [];
    #oversized: BodyPlace | undefined;
    #timer: ScheduledCall | undefined;

    /** @param options - Dependencies of the room. */
    constructor(options: BodyRoomOptions) {
        this.#options = options;
    }

    /**
     * Creates the place of a body, for which nothing is reserved yet.
     * @param kind - The kind of the body.
     * @param timeoutMs - The time in which the body is of use, in milliseconds.
     * @param onEvicted - Called when the place is taken away from a body that is being read.
     */
    create(kind: BodyKind, timeoutMs: number, onEvicted: (detail: string) => void): BodyPlace {
        const now = this.#options.clock.getTime();
        return {
            kind,
            bytes: 0,
            receivedBytes: 0,
            progressBytes: 0,
            progressTime: now,
            lastByteTime: now,
            endTime: now + timeoutMs,
            onEvicted,
            isComplete: false,
        };
    }

    /**
     * Reserves memory for a body; waits for a bounded time while there is none, and returns false if there is none then.
     * @param place - The body's place.
     * @param bytes - The whole size to be reserved, in bytes.
     */
    async claim(place: BodyPlace, bytes: number): Promise<boolean> {
        this.#places.add(place);
        if (this.#grant(place, bytes)) {
            this.#schedule();
            return true;
        }
        const { clock, budget } = this.#options;
        const endTime = Math.min(place.endTime, clock.getTime() + MAX_WAIT_MS);
        const isGranted = await new Promise<boolean>(resolve => {
            this.#waiters.push({ place, bytes, endTime, resolve });
            this.#waiters.sort((first, second) => first.bytes - second.bytes);
            this.#schedule();
        });
        if (!isGranted) {
            budget.record(place.kind, MemoryAction.Refused);
            this.release(place);
        }
        return isGranted;
    }

    /**
     * Records that more of a body has come.
     * @param place - The body's place.
     * @param bytes - How much has come, in bytes.
     */
    receive(place: BodyPlace, bytes: number): void {
        place.lastByteTime = this.#options.clock.getTime();
        place.receivedBytes += bytes;
        if (place.receivedBytes - place.progressBytes >= PROGRESS_BYTES) {
            place.progressBytes = place.receivedBytes;
            place.progressTime = place.lastByteTime;
        }
    }

    /**
     * Records that a body has come whole; its memory stays reserved.
     * @param place - The body's place.
     */
    recordEnd(place: BodyPlace): void {
        place.isComplete = true;
    }

    /**
     * Gives up a body's memory.
     * @param place - The body's place.
     */
    release(place: BodyPlace): void {
        if (!this.#places.delete(place)) {
            return;
        }
        this.#options.budget.release(place.kind, place.bytes);
        place.bytes = 0;
        if (this.#oversized === place) {
            this.#oversized = undefined;
        }
        this.#waiters.filter(waiter => waiter.place === place).forEach(waiter => this.#applyResult(waiter, false));
        this.#grantWaiters();
    }

    /** Takes the place of the slowest body that is being read, if one is too slow; returns whether there was one. */
    closeSlowest(): boolean {
        const now = this.#options.clock.getTime();
        const slow = [...this.#places].filter(place =>
            !place.isComplete && !this.#isWaiting(place) && now - place.progressTime >= STALL_MS
        );
        const slowest = slow.sort((first, second) => first.progressTime - second.progressTime)[0];
        if (slowest !== undefined) {
            this.#close(slowest, "Memory is short and the body comes too slowly.");
        }
        return slowest !== undefined;
    }

    #grant(place: BodyPlace, bytes: number): boolean {
        const { budget } = this.#options;
        const limit = budget.getLimit(place.kind);
        const isSmall = bytes <= SMALL_BODY_BYTES;
        const share = limit * (isSmall ? SMALL_SHARE : 1 - SMALL_SHARE);
        const fits = this.#getHeld(place, isSmall) + bytes <= share;
        if (!fits) {
            if (bytes <= share || (this.#oversized !== undefined && this.#oversized !== place)) {
                return false;
            }
            this.#oversized = place;
        }
        budget.claim(place.kind, bytes - place.bytes);
        place.bytes = bytes;
        return true;
    }

    /** Gets what other bodies of a kind and class hold, in bytes, without the oversized one. */
    #getHeld(place: BodyPlace, isSmall: boolean): number {
        let held = 0;
        for (const other of this.#places) {
            const isOther = other !== place && other !== this.#oversized && other.kind === place.kind;
            if (isOther && (other.bytes <= SMALL_BODY_BYTES) === isSmall) {
                held += other.bytes;
            }
        }
        return held;
    }

    #grantWaiters(): void {
        for (const waiter of [...this.#waiters]) {
            if (this.#grant(waiter.place, waiter.bytes)) {
                this.#applyResult(waiter, true);
            }
        }
    }

    #applyResult(waiter: Waiter, isGranted: boolean): void {
        this.#waiters = this.#waiters.filter(other => other !== waiter);
        waiter.place.progressTime = this.#options.clock.getTime();
        waiter.place.lastByteTime = waiter.place.progressTime;
        waiter.resolve(isGranted);
    }

    #close(place: BodyPlace, detail: string): void {
        this.#options.budget.record(place.kind, MemoryAction.Evicted);
        this.release(place);
        place.onEvicted(detail);
    }

    #isWaiting(place: BodyPlace): boolean {
        return this.#waiters.some(waiter => waiter.place === place);
    }

    #schedule(): void {
        this.#timer ??= this.#options.clock.schedule(CHECK_INTERVAL_MS, () => {
            this.#timer = undefined;
            this.#check();
            if (this.#waiters.length > 0 || [...this.#places].some(place => !place.isComplete)) {
                this.#schedule();
            }
        });
    }

    #check(): void {
        const now = this.#options.clock.getTime();
        const idleMs = this.#options.getIdleTimeout();
        for (const place of [...this.#places]) {
            const isOverdue = now >= place.endTime || now - place.lastByteTime >= idleMs;
            if (!place.isComplete && !this.#isWaiting(place) && isOverdue) {
                this.#close(place, "The rest of the body did not come in time.");
            }
        }
        this.#waiters.filter(waiter => now >= waiter.endTime).forEach(waiter => this.#applyResult(waiter, false));
        while (this.#waiters.length > 0 && this.closeSlowest()) {
            // Each body that makes way may let one in.
        }
    }
}
