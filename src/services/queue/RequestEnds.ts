import { createNotRun, RefusalReason } from "../../outcomes/index.js";
import type { Clock } from "../../time/index.js";
import type { RecordSenderEndParams } from "../sharing/RecordSenderEndParams.js";
import type { LastStart } from "./LastStart.js";

/** A sender that stops within this time after the service host has no time to use another one, in milliseconds. */
const HAND_OVER_MS = 50;
/** Retry delay of a request whose sender is stopping, in milliseconds; it can come through another host at once. */
const SENDER_STOPPING_RETRY_MS = 50;

/** When stopping hosts abort requests: the service host all that it holds, and each sender its own. */
export class RequestEnds {
    readonly #clock: Clock;
    #hostEnd: number | undefined;
    /** By request id, in milliseconds of the clock; also of requests that are still on their way here. */
    readonly #senderEnds = new Map<string, number>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records that the service host is stopping.
     * @param endTime - When it aborts the requests in progress, in milliseconds of the clock.
     */
    recordHostEnd(endTime: number): void {
        this.#hostEnd = endTime;
    }

    /**
     * Records that the sender of requests is stopping.
     * @param params - The requests and the time left.
     */
    recordSenderEnd({ requestIds, remainingMs }: RecordSenderEndParams): void {
        const now = this.#clock.getTime();
        this.#senderEnds.forEach((endTime, id) => {
            if (endTime <= now) {
                this.#senderEnds.delete(id);
            }
        });
        requestIds.forEach(id => this.#senderEnds.set(id, now + remainingMs));
    }

    /** Whether any request may be aborted because a host is stopping. */
    hasEnds(): boolean {
        return this.#hostEnd !== undefined || this.#senderEnds.size > 0;
    }

    /**
     * Finds until when a request can start; undefined if neither host is stopping.
     * @param requestId - The request's id.
     * @param durationMs - How long it is expected to run, in milliseconds.
     */
    findLastStart(requestId: string, durationMs: number): LastStart | undefined {
        const hostEnd = this.#hostEnd ?? Number.POSITIVE_INFINITY;
        const senderEnd = this.#senderEnds.get(requestId) ?? Number.POSITIVE_INFINITY;
        const endTime = Math.min(hostEnd, senderEnd);
        if (endTime === Number.POSITIVE_INFINITY) {
            return undefined;
        }
        const refusal = senderEnd <= hostEnd + HAND_OVER_MS
            ? createNotRun(
                RefusalReason.SenderStopping,
                "The host that took the request is stopping.",
                SENDER_STOPPING_RETRY_MS,
            )
            : createNotRun(RefusalReason.HostStopping, "The service host is stopping.", 0);
        return { time: endTime - durationMs, refusal };
    }
}
