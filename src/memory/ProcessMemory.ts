import { Decision } from "../logging/index.js";
import type { DecisionLog } from "../logging/index.js";
import { BodyReader } from "./BodyReader.js";
import { BodyRoom } from "./BodyRoom.js";
import { createMemoryLimits } from "./createMemoryLimits.js";
import { GarbageCollector } from "./GarbageCollector.js";
import { MemoryAction } from "./MemoryAction.js";
import { MemoryBudget } from "./MemoryBudget.js";
import { MemoryKind } from "./MemoryKind.js";
import type { ProcessMemoryOptions } from "./ProcessMemoryOptions.js";
import { UnreadAnswers } from "./UnreadAnswers.js";

/** What callers' requests may hold in a process. */
export class ProcessMemory {
    readonly budget: MemoryBudget;
    /** Reads the bodies that callers send. */
    readonly bodies: BodyReader;
    /** Reads the bodies that other hosts forward. */
    readonly forwardedBodies: BodyReader;
    readonly answers: UnreadAnswers;
    readonly #room: BodyRoom;
    readonly #decisions: DecisionLog;

    /** @param options - Dependencies and settings. */
    constructor({ clock, decisions, memoryBytes, getIdleTimeout, collect }: ProcessMemoryOptions) {
        this.#decisions = decisions;
        const garbage = new GarbageCollector(collect);
        this.budget = new MemoryBudget(createMemoryLimits(memoryBytes));
        this.#room = new BodyRoom({ clock, budget: this.budget, getIdleTimeout });
        this.bodies = new BodyReader(this.#room, MemoryKind.Body, garbage);
        this.forwardedBodies = new BodyReader(this.#room, MemoryKind.ForwardedBody, garbage);
        this.answers = new UnreadAnswers({ clock, budget: this.budget, decisions });
    }

    /** Records that a connection was closed as there were too many. */
    recordClosedConnection(): void {
        this.budget.record(MemoryKind.QueuedRequest, MemoryAction.Closed);
        this.#decisions.record({ decision: Decision.Cut, reason: "too many connections" });
    }

    /** Takes the place of the slowest caller, if one is too slow; returns whether there was one. */
    closeSlowest(): boolean {
        return this.#room.closeSlowest() || this.answers.closeSlowest();
    }
}
