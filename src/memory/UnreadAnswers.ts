import { Decision } from "../logging/index.js";
import type { ScheduledCall } from "../time/index.js";
import { MemoryAction } from "./MemoryAction.js";
import { MemoryKind } from "./MemoryKind.js";
import type { UnreadAnswer } from "./UnreadAnswer.js";
import type { UnreadAnswersOptions } from "./UnreadAnswersOptions.js";

/** An answer is not cut before it has been sent for this time, in milliseconds. */
const MIN_AGE_MS = 500;
/** Time between two looks at the answers while they hold too much, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;

/** An answer and when its sending began, in milliseconds of the clock. */
interface Sending {
    readonly answer: UnreadAnswer;
    readonly startTime: number;
}

/** Cuts the answers of the slowest readers while those that wait for their readers hold too much memory. */
export class UnreadAnswers {
    readonly #options: UnreadAnswersOptions;
    readonly #sending = new Set<Sending>();
    #timer: ScheduledCall | undefined;

    /** @param options - Dependencies. */
    constructor(options: UnreadAnswersOptions) {
        this.#options = options;
    }

    /**
     * Adds an answer whose sending begins; returns a function that removes it.
     * @param answer - The answer.
     */
    add(answer: UnreadAnswer): () => void {
        const { clock, budget } = this.#options;
        const sending = { answer, startTime: clock.getTime() };
        this.#sending.add(sending);
        budget.claim(MemoryKind.UnreadAnswer, answer.bytes);
        this.#schedule();
        return () => this.#remove(sending);
    }

    /** Cuts the answer of the slowest reader, if one doesn't read; returns whether there was one. */
    closeSlowest(): boolean {
        const now = this.#options.clock.getTime();
        const slowest = [...this.#sending]
            .filter(({ answer, startTime }) => now - startTime >= MIN_AGE_MS && answer.isBlocked())
            .map(sending => ({ sending, speed: sending.answer.getSentBytes() / (now - sending.startTime) }))
            .sort((first, second) => first.speed - second.speed)[0];
        if (slowest === undefined) {
            return false;
        }
        const { budget, decisions } = this.#options;
        this.#remove(slowest.sending);
        budget.record(MemoryKind.UnreadAnswer, MemoryAction.Cut);
        decisions.record({
            decision: Decision.Cut,
            reason: "slow reader, memory or connections are short",
            requestId: slowest.sending.answer.requestId,
            figures: {
                heldBytes: budget.getHeld(MemoryKind.UnreadAnswer),
                bytesPerSecond: Math.round(slowest.speed * MS_PER_SECOND),
            },
        });
        slowest.sending.answer.close();
        return true;
    }

    #remove(sending: Sending): void {
        if (this.#sending.delete(sending)) {
            this.#options.budget.release(MemoryKind.UnreadAnswer, sending.answer.bytes);
        }
    }

    #schedule(): void {
        if (this.#isTooMuch()) {
            this.#timer ??= this.#options.clock.schedule(CHECK_INTERVAL_MS, () => {
                this.#timer = undefined;
                this.#check();
                this.#schedule();
            });
        }
    }

    #isTooMuch(): boolean {
        const { budget } = this.#options;
        return budget.getHeld(MemoryKind.UnreadAnswer) > budget.getLimit(MemoryKind.UnreadAnswer);
    }

    /** Only blocked answers hold memory; those of fast readers are counted as they may become blocked. */
    #check(): void {
        const blocked = [...this.#sending].filter(({ answer }) => answer.isBlocked());
        let bytes = blocked.reduce((sum, { answer }) => sum + answer.bytes, 0);
        const mean = bytes / Math.max(1, blocked.length);
        while (bytes > this.#options.budget.getLimit(MemoryKind.UnreadAnswer) && this.closeSlowest()) {
            bytes -= mean;
        }
    }
}
